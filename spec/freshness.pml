/* How old the proof is that an entry knows which keys are in force. The store takes a key
 * away at any moment; a source reads the store, and an entry that follows the source admits
 * requests with the key.
 *
 *   BEGIN     a reading proves what the store held when it began, not at its end
 *             (site.Follower.watch)
 *   AGEFIRST  a source takes the age of what it knows before what it sends
 *             (onsite.newsServer.send)
 *   SENT      a source's age counts from when the entry asked
 *             (onsite.newsReader.updateFreshness)
 *   CLOCK     the clock of proofs goes on while the process is suspended
 *             (freshness.BootClock)
 *   ORDER     a request takes the age before the configuration that judges it
 *             (gateway.Gateway.prepare)
 *   CLAIM     a question for the newest revision proves what is known at its time once all
 *             changes up to that revision are known
 *             (site.Mirror.ProveAt)
 *   LIMIT     keys and routes count only while the proof is younger than the bound
 *             (gateway.Gateway.route)
 */
#define BOUND 1
#define MAXTIME 4
#define NONE 9 /* no proof yet: older than any */

byte now;
bool gone;         /* the key was taken away */
byte goneAt;

bool sourceSaw;    /* the source knows that the key is gone */
short sourceProven = -NONE;
bool entrySaw;
short entryProven = -NONE;
byte suspended;    /* ticks that the entry's process did not see */

#ifndef NO_CLOCK
#define ENTRYNOW (now)
#else
#define ENTRYNOW (now - suspended)
#endif

proctype time() {
	do
	:: now < MAXTIME -> now++
	:: now < MAXTIME -> atomic { now++; suspended++ }
	:: now >= MAXTIME -> break
	od
}

proctype operator() {
	atomic { gone = true; goneAt = now }
}

proctype source() {
	byte rounds = 0;
	short began;
	bool read;
	do
	:: rounds < 2 ->
		rounds++;
		began = now;
		read = gone; /* at any moment after the call */
		atomic {
			sourceSaw = sourceSaw || read;
#ifndef NO_BEGIN
			sourceProven = began
#else
			sourceProven = now
#endif
		}
	:: rounds < 2 ->
		rounds = 2;
		began = now;
		read = gone; /* the newest revision, at any moment after the question */
		atomic {
#ifndef NO_CLAIM
			if
			:: sourceSaw >= read -> sourceProven = began
			:: else
			fi
#else
			sourceProven = began
#endif
		}
	:: rounds >= 2 -> break
	od
}

proctype entry() {
	byte rounds = 0;
	short asked, age;
	bool got;
	do
	:: rounds < 1 ->
		rounds++;
		asked = ENTRYNOW;
#ifndef NO_AGEFIRST
		age = now - sourceProven;
		got = sourceSaw;
#else
		got = sourceSaw;
		age = now - sourceProven;
#endif
		atomic {
			entrySaw = entrySaw || got;
#ifndef NO_SENT
			entryProven = (asked - age > entryProven -> asked - age : entryProven)
#else
			entryProven = (ENTRYNOW - age > entryProven -> ENTRYNOW - age : entryProven)
#endif
		}
	:: rounds >= 1 -> break
	od
}

proctype request() {
	byte arrived;
	short age;
	bool saw;
	arrived = now;
#ifndef NO_ORDER
	age = ENTRYNOW - entryProven;
	saw = entrySaw;
#else
	saw = entrySaw;
	age = ENTRYNOW - entryProven;
#endif
	if
#ifndef NO_LIMIT
	:: !saw && age <= BOUND ->
#else
	:: !saw ->
#endif
		/* a request that came later than the bound after the key was gone never runs */
		assert(!(gone && arrived > goneAt + BOUND))
	:: else
	fi
}

init {
	atomic {
		run time();
		run operator();
		run source();
		run entry();
		run request()
	}
}
