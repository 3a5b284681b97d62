/* The agent's gate: chunks, verification, load, requests, a version that
 * changes half-way, an engine that drops a load.
 *
 *   VERIFY   a chunk is kept only if its bytes match its hash
 *            (weights.transfer.fetchAndKeep)
 *   WHOLE    a load is ordered only when every chunk is kept
 *            (orders.decideSwitch)
 *   DRAIN    a load is ordered only when nothing runs, and none is let in
 *            (orders.Runner.issueOrder)
 *   CONFIRM  the gate opens only for the version the engine says it has
 *            (orders.Runner.openGate)
 *   INTENDED a request for another version than the open one is refused
 *            (gate.Gate.serves)
 */
#define CHUNKS 2
#define VERSIONS 3 /* version 0 is none */
#define REQUESTS 2

#ifndef NO_WHOLE
#define MAYORDER (target != open && kept[target] == 3)
#else
#define MAYORDER (target != open)
#endif
#ifndef NO_INTENDED
#define ADMITS (open != 0 && open == want)
#else
#define ADMITS (open != 0)
#endif

byte kept[VERSIONS];       /* bit set of chunks kept */
byte bad[VERSIONS];        /* bit set of kept chunks with wrong bytes */
byte target = 1;           /* version that the plan asks for */
byte engineVersion;        /* what the engine really runs */
bool engineMixed;          /* the engine runs on incomplete or wrong bytes */
byte open;                 /* version that the gate admits; 0 none */
byte ordered;
byte running;

proctype fetcher() {
	byte v, c;
	do
	:: kept[target] != 3 ->
		atomic {
			v = target;
			if
			:: c = 1
			:: c = 2
			fi;
			if
			:: true -> kept[v] = kept[v] | c; bad[v] = bad[v] & (3 - c)
			:: true -> /* it arrives corrupt */
#ifndef NO_VERIFY
				skip
#else
				kept[v] = kept[v] | c; bad[v] = bad[v] | c
#endif
			fi
		}
	:: timeout -> break
	od
}

proctype planner() {
	if
	:: target = 2
	:: skip
	fi
}

proctype turner() {
	byte v;
	byte drops = 0;
	do
	:: atomic { MAYORDER -> v = target };
#ifndef NO_DRAIN
		open = 0;   /* nobody is let in any more */
		(running == 0);
#endif
		ordered = v;
		if
		:: true -> atomic { engineVersion = v; engineMixed = (kept[v] != 3 || bad[v] != 0) }
		:: drops < 1 -> drops++ /* the engine says yes and does nothing */
		fi;
#ifndef NO_CONFIRM
		if
		:: engineVersion == v -> open = v
		:: else /* order it again */
		fi
#else
		open = v
#endif
	:: timeout -> break
	od
}

proctype request() {
	byte want, atBegin;
	byte tries = 0;
	do
	:: tries < 2 ->
		tries++;
		want = target; /* an entry's view: may be old by the time it arrives */
		atomic {
			if
			:: ADMITS -> running++
			:: else -> goto next
			fi
		};
		atomic {
			atBegin = engineVersion;
			assert(atBegin == want); /* the intended version */
			assert(!engineMixed)     /* complete weights */
		};
		atomic {
			assert(engineVersion == atBegin); /* one version from begin to end */
			assert(!engineMixed);
			running--
		}
next:		skip
	:: tries >= 2 -> break
	od
}

init {
	atomic {
		run fetcher();
		run planner();
		run turner();
		run request();
		run request()
	}
}
