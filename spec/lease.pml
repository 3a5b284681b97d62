/* A lease whose holder is paused, and the fencing of what it wrote and ordered.
 *
 *   OWNCLOCK  the holder checks its own clock before it acts
 *             (lease.Holder.Holding)
 *   BEFORE    the lease counts from before it was asked for
 *             (lease.machine.extendDeadline)
 *   PLANCAS   a plan replaces only the plan it was computed from
 *             (planner.Planner.write)
 *   FENCE     the agent refuses an order below the highest it obeyed
 *             (fence.Guard.Admit)
 *   RESTART   an agent that starts takes the engine's number as its own
 *             (fence.Guard.Learn)
 */
#define TTL 2
#define MAXTIME 5
#define HOLDERS 2

byte now;
byte leaseUntil;   /* service's clock: the lease lapses at this time */
byte leaseOwner;   /* holder + 1; 0 none */
byte fenceCount;   /* revision of the lease key */
byte planFence;    /* fence of the stored plan */
byte planRev;
bool believes[HOLDERS];
byte actingUntil[HOLDERS];

byte agentFence;   /* highest obeyed, lost at a restart */
byte engineFence;  /* the engine reports the number of the last order */
byte obeyed;       /* highest ever obeyed: the checker's own record */

chan orders = [2] of { byte };

proctype time() {
	do
	:: now < MAXTIME -> now++
	:: now >= MAXTIME -> break
	od
}

proctype holder(byte h) {
	byte asked, fence, seenPlan, seenFence;
	bool got;
	byte rounds = 0;
	do
	:: rounds < 2 ->
		rounds++;
		asked = now; /* before the call; time may pass until it takes effect */
		atomic {
			got = false;
			if
			:: leaseOwner == 0 || now >= leaseUntil ->
				fenceCount++;
				fence = fenceCount;
				leaseOwner = h + 1;
				leaseUntil = now + TTL;
				got = true
			:: else
			fi
		}
		if
		:: got ->
#ifndef NO_BEFORE
			actingUntil[h] = asked + TTL;
#else
			actingUntil[h] = now + TTL; /* from when the reply arrived */
#endif
			believes[h] = true;
			/* computes a plan; may be paused anywhere */
			atomic { seenPlan = planRev; seenFence = planFence };
			if
			:: seenFence > fence -> goto stop
			:: else
			fi;
#ifndef NO_OWNCLOCK
			atomic {
				if
				:: now >= actingUntil[h] -> goto stop
				:: else -> 
					/* acting while the service may have given the lease away
					 * is what the clock rule excludes */
					assert(leaseOwner == h + 1 || now >= leaseUntil)
				fi
			}
#else
			assert(leaseOwner == h + 1 || now >= leaseUntil);
#endif
			atomic {
				if
#ifndef NO_PLANCAS
				:: planRev == seenPlan ->
#else
				:: true ->
#endif
					assert(fence >= planFence); /* a former holder never overwrites */
					planRev++;
					planFence = fence;
					if
					:: nfull(orders) -> orders!fence
					:: else
					fi
#ifndef NO_PLANCAS
				:: planRev != seenPlan -> skip
#endif
				fi
			}
stop:
			believes[h] = false
		:: else
		fi
	:: rounds >= 2 -> break
	od
}

proctype agent() {
	byte order;
	byte restarts = 0;
	do
	:: orders?order -> goto obey
	:: atomic { orders?order; orders!order } -> goto obey /* a stale copy comes later */
	:: restarts < 1 ->
		restarts++;
#ifndef NO_RESTART
		agentFence = engineFence
#else
		agentFence = 0
#endif
	:: timeout -> break
obey:
		atomic {
			if
#ifndef NO_FENCE
			:: order >= agentFence ->
#else
			:: true ->
#endif
				assert(order >= obeyed); /* no former holder's order is obeyed */
				obeyed = order;
				agentFence = order;
				engineFence = order
#ifndef NO_FENCE
			:: order < agentFence -> skip
#endif
			fi
		}
	od
}

init {
	atomic {
		run time();
		run holder(0);
		run holder(1);
		run agent()
	}
}
