/* The document's swap: two operators, lost replies, a submitter that dies,
 * processes that learn revisions late and out of order.
 *
 * Each rule can be left out with -DNO_<RULE>; the model must then fail.
 *   CAS      a root is written only over the revision it was based on
 *            (store.Store.swap)
 *   SETTLE   a lost reply is settled by looking for the submission id
 *            (store.Store.findAccepted)
 *   EMBED    the root carries its own audit record
 *            (store.Store.newRoot)
 *   MONOTONE a process adopts a revision only if it is higher
 *            (revision.State.AdoptRoot)
 */
#define SUBMITTERS 2
#define REVISIONS 4 /* bound: revisions 1..3 */
#define OBSERVERS 2

byte rootRev;              /* revision of the visible root */
byte subAt[REVISIONS];     /* submission id + 1 accepted as that revision */
byte baseAt[REVISIONS];    /* base that the submission named */
bool auditAt[REVISIONS];   /* the revision has its audit record */
byte accepted[SUBMITTERS]; /* how often a submission took effect */
byte told[SUBMITTERS];     /* 0 nothing, 1 accepted, 2 conflict, 3 unknown */

byte finished;              /* submitters that stopped */

chan news = [3] of { byte };

/* commit writes submission s over base b, as the service does: atomically. */
inline commit(s, b) {
	rootRev++;
	subAt[rootRev] = s + 1;
	baseAt[rootRev] = b;
	accepted[s]++;
#ifndef NO_EMBED
	auditAt[rootRev] = true;
#endif
	if
	:: nfull(news) -> news!rootRev
	:: skip /* a watch event may be lost */
	fi
}

proctype submitter(byte s) {
	byte base, found, r;
	bool wrote;
	byte tries = 0;
	base = rootRev;
attempt:
	atomic {
		wrote = false;
		if
#ifndef NO_CAS
		:: rootRev == base && rootRev < REVISIONS - 1 -> commit(s, base); wrote = true
		:: rootRev != base -> skip
#else
		:: rootRev < REVISIONS - 1 -> commit(s, base); wrote = true
#endif
		:: rootRev >= REVISIONS - 1 -> skip
		fi
	}
	if
	:: true -> /* the reply arrives */
		if
		:: wrote -> told[s] = 1
		:: else -> told[s] = 2
		fi
	:: true -> /* the reply is lost */
#ifndef NO_SETTLE
		atomic {
			found = 0;
			r = 1;
			do
			:: r <= rootRev ->
				if
				:: subAt[r] == s + 1 -> found = 1
				:: else
				fi;
				r++
			:: else -> break
			od;
			if
			:: found -> told[s] = 1
			:: !found && rootRev != base -> told[s] = 2
			:: !found && rootRev == base -> told[s] = 3
			fi
		}
#else
		/* without the rule: read the newest base and submit again */
		if
		:: tries == 0 -> tries++; base = rootRev; goto attempt
		:: else -> told[s] = 3
		fi
#endif
	:: true -> goto done /* the submitter dies between swap and reply */
	fi;
#ifdef NO_EMBED
	/* without the rule: the record is written after the swap, if alive */
	atomic {
		r = 1;
		do
		:: r <= rootRev ->
			if
			:: subAt[r] == s + 1 -> auditAt[r] = true
			:: else
			fi;
			r++
		:: else -> break
		od
	}
#endif
done:
	finished++
}

proctype observer() {
	byte inForce = 0, heard, before;
	byte reads = 0;
	do
	:: news?heard -> goto adopt
	:: atomic { news?heard; news!heard } -> goto adopt /* delivered again later */
	:: reads < 2 -> reads++; heard = rootRev; goto adopt /* asks a peer or the service */
	:: timeout -> break
adopt:
		before = inForce;
		if
#ifndef NO_MONOTONE
		:: heard > inForce -> inForce = heard
		:: else
#else
		:: inForce = heard
#endif
		fi;
		assert(inForce >= before)
	od
}

/* checker looks when both submitters have stopped. */
proctype checker() {
	byte r;
	(finished == SUBMITTERS);
	d_step {
		r = 1;
		do
		:: r <= rootRev ->
			assert(baseAt[r] == r - 1); /* no update is lost */
			assert(auditAt[r]);         /* no visible revision lacks its record */
			r++
		:: else -> break
		od;
		r = 0;
		do
		:: r < SUBMITTERS ->
			assert(accepted[r] <= 1);                    /* never accepted twice */
			assert(told[r] != 1 || accepted[r] == 1);    /* accepted means durable */
			assert(told[r] != 2 || accepted[r] == 0);    /* a conflict had no effect */
			r++
		:: else -> break
		od
	}
}

init {
	atomic {
		run submitter(0);
		run submitter(1);
		run observer();
		run observer();
		run checker()
	}
}
