/* One key that may run at most once, sent through two entries, with two
 * agents that restart and messages that come late and twice.
 *
 *   OWNER       only the incarnation named in the key grants it; an entry that
 *               restarted grants nothing of its former self
 *               (once.Authority.Claim)
 *   ONEGRANT    the owner grants a key to one claimant at a time
 *               (once.Table.Claim)
 *   PROVED      an attempt is retried only when it is proved not to have run
 *               (dispatch.Progress.MayRetry)
 *   BOUND       an attempt goes out once, on one connection, which ends with the
 *               agent's process: nothing delivers it to a later incarnation
 *               (dispatch.NewHosts)
 *   TOMBSTONE   a cancelled attempt that comes later is refused
 *               (attempt.Memory.Cancel)
 *   ONCEONLY    an attempt that comes again is not run again
 *               (attempt.Memory.Begin)
 *   REFUSED     a refused attempt that comes again is refused again
 *               (attempt.request.verdictFor)
 *   OTHER       a cancel met by another incarnation proves nothing
 *               (gate.Gate.Cancel)
 *
 * The incarnation in an attempt (the agent refuses one meant for another) makes
 * a refusal and a cancel's answer mean something; with BOUND in force no run is
 * doubled without it, so it has no variant of its own. Spin found the case
 * that BOUND excludes: an attempt begun, the agent restarted, the same attempt
 * delivered again and refused by the new incarnation, the refusal taken as
 * proof.
 */
#define AGENTS 2
#define ATTEMPTS 4 /* two claimants with two attempts each */
#define NOBODY 2

#ifndef NO_BOUND
#define ARRIVES (connInc[a] == incOf[h])
#else
#define ARRIVES true
#endif
#define SAMEINC (toInc[a] == incOf[h])
#ifndef NO_ONCEONLY
#define FRESH (!begun[a])
#else
#define FRESH true
#endif
#ifndef NO_OWNER
#define OWNERKNOWS (!ownerRestarted)
#else
#define OWNERKNOWS true
#endif
#ifndef NO_ONEGRANT
#define UNGRANTED (grantedTo == NOBODY)
#else
#define UNGRANTED true
#endif

byte incOf[AGENTS];
bool begun[ATTEMPTS];   /* agent's memory; lost with its incarnation */
bool tomb[ATTEMPTS];    /* agent's memory; lost with its incarnation */

bool sent[ATTEMPTS];
byte toHost[ATTEMPTS];
byte toInc[ATTEMPTS];   /* as the entry's last report said */
byte connInc[ATTEMPTS]; /* process at the other end of the connection */
byte delivered[ATTEMPTS];
byte reply[ATTEMPTS];   /* 0 none yet, 1 ran, 2 refused */
bool toldNotRun[ATTEMPTS];
byte runs;

byte grantedTo = NOBODY;
bool ownerRestarted;

/* network delivers any sent attempt, late, and up to twice. */
proctype network() {
	byte a, h;
	do
	:: atomic {
		if
		:: sent[0] && delivered[0] < 2 -> a = 0
		:: sent[1] && delivered[1] < 2 -> a = 1
		:: sent[2] && delivered[2] < 2 -> a = 2
		:: sent[3] && delivered[3] < 2 -> a = 3
		fi;
		delivered[a]++;
		h = toHost[a];
		if
		:: !ARRIVES -> skip
		:: ARRIVES && !SAMEINC -> reply[a] = 2
		:: ARRIVES && SAMEINC && !FRESH -> skip
		:: ARRIVES && SAMEINC && FRESH && tomb[a] -> reply[a] = 2
		:: ARRIVES && SAMEINC && FRESH && !tomb[a] -> /* full for the moment */
			reply[a] = 2;
#ifndef NO_REFUSED
			tomb[a] = true
#endif
		:: ARRIVES && SAMEINC && FRESH && !tomb[a] ->
			begun[a] = true;
			runs++;
			reply[a] = 1;
			assert(runs <= 1);
			assert(!toldNotRun[a])
		fi
		}
	:: timeout -> break
	od
}

/* faults restarts agents and the owner once each. */
proctype faults() {
	byte h, a;
	if
	:: atomic {
		if
		:: h = 0
		:: h = 1
		fi;
		incOf[h]++;
		a = 0;
		do
		:: a < ATTEMPTS ->
			if
			:: toHost[a] == h -> begun[a] = false; tomb[a] = false
			:: else
			fi;
			a++
		:: else -> break
		od
	   }
	:: skip
	fi;
	if
	:: atomic { ownerRestarted = true; grantedTo = NOBODY }
	:: skip
	fi
}

proctype claimant(byte c) {
	byte n = 0, a, h;
	bool granted;
	byte outcome; /* 1 answered, 2 notRun, 3 unknown */
	/* claim */
	atomic {
		granted = false;
		if
		:: !OWNERKNOWS -> skip
		:: OWNERKNOWS && UNGRANTED ->
			grantedTo = c;
			granted = true
		:: OWNERKNOWS && !UNGRANTED -> skip
		fi
	}
	if
	:: !granted -> goto done
	:: else
	fi;
	do
	:: n < 2 ->
		a = c * 2 + n;
		n++;
		atomic {
			if
			:: h = 0
			:: h = 1
			fi;
			toHost[a] = h;
			connInc[a] = incOf[h];
			if
			:: toInc[a] = incOf[h]
			:: incOf[h] > 0 -> toInc[a] = incOf[h] - 1 /* an old report */
			fi;
			sent[a] = true
		};
		/* wait for a reply, or give up and cancel */
		if
		:: atomic { reply[a] == 1 -> outcome = 1 }
		:: atomic { reply[a] == 2 -> outcome = 2 }
		:: atomic {
			if
			:: toInc[a] == incOf[h] && begun[a] -> outcome = 3
#ifndef NO_TOMBSTONE
			:: toInc[a] == incOf[h] && !begun[a] -> tomb[a] = true; outcome = 2
#else
			:: toInc[a] == incOf[h] && !begun[a] -> outcome = 2
#endif
#ifndef NO_OTHER
			:: toInc[a] != incOf[h] -> outcome = 3
#else
			:: toInc[a] != incOf[h] -> outcome = 2
#endif
			fi
		   }
		:: outcome = 3 /* the cancel got no answer */
		fi;
		if
		:: outcome == 1 -> break
		:: outcome == 2 ->
			atomic { toldNotRun[a] = true; assert(reply[a] != 1) }
#ifndef NO_PROVED
		:: outcome == 3 -> break
#else
		:: outcome == 3 -> skip
#endif
		fi
	:: n >= 2 -> break
	od;
	/* settle: only a proved notRun releases the key */
	atomic {
		if
		:: outcome == 2 && grantedTo == c -> grantedTo = NOBODY
		:: else
		fi
	}
done:
	skip
}

init {
	atomic {
		run network();
		run faults();
		run claimant(0);
		run claimant(1)
	}
}
