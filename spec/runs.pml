/* Model of the runs of one task on two backend servers under changing leaders (internal/dispatch and
 * internal/request/ledger). The record is the committed state; what a leader knows about the progress of its order is lost
 * when its term ends. Starts are carried out late or never. Servers crash and restart under the same id, their leases lapse,
 * and responses are lost. A call reaches the server incarnation to which it connected, which the leader may not know yet.
 * Clocks are abstracted: a leader concludes that a lease has lapsed only once it has, and a start whose deadline has passed
 * is dropped.
 *
 * Invariant: a task starts only while it isn't running anywhere, and never after its end was committed.
 *
 * Each mutation must be caught:
 *   EARLY_LAPSE    runs of a silent server are closed before its lease has lapsed
 *   LOST_UNSTOPPED an unanswered order is considered lost when a report doesn't list its run
 *   REBORN_LOST    the announcement of a new incarnation closes all runs of the server's id
 *   NO_FENCE       servers accept orders of earlier leaders
 *   START_FIRST    a start is sent before it is committed
 *
 * check: pass
 * check: pass -DMAXTERM=3 -DMAXLIFE=1
 * check: fail -DEARLY_LAPSE
 * check: fail -DLOST_UNSTOPPED
 * check: fail -DREBORN_LOST
 * check: fail -DNO_FENCE
 * check: fail -DSTART_FIRST
 */
#define SERVERS 2
#define SLOTS 3 /* starts in transit at the same time */
#ifndef MAXRUN
#define MAXRUN 3
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef MAXLIFE
#define MAXLIFE 2 /* restarts of servers in total */
#endif

/* The committed record. */
bool live, done;
byte currentRun, currentServer;

/* The leader: its term and what it knows about the order for the live run. */
#define NONE 0       /* no order, or one sent by an earlier leader */
#define FLIGHT 1     /* the call is in progress */
#define TAKEN 2
#define UNANSWERED 3
#define STOPPED 4
byte term = 1, order = NONE;
byte knownIncarnation[SERVERS]; /* incarnation of each server that the leader knows */

/* The servers. */
byte incarnation[SERVERS], fence[SERVERS], highestRun[SERVERS], running[SERVERS], ended[SERVERS];
bool lease[SERVERS];
byte restarts;

hidden byte i, s; /* used within one atomic step only */

/* Starts in transit. */
bool inFlight[SLOTS];
byte m_term[SLOTS], m_run[SLOTS], m_server[SLOTS], m_incarnation[SLOTS];

#define UNDERWAY(r) ((inFlight[0] && m_run[0] == r) || (inFlight[1] && m_run[1] == r) || (inFlight[2] && m_run[2] == r))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef NO_FENCE
#define FENCED(t, s) false
#else
#define FENCED(t, s) (t < fence[s])
#endif

#ifdef EARLY_LAPSE
#define LAPSED true
#else
#define LAPSED (!lease[currentServer] && running[currentServer] == 0 && !UNDERWAY(currentRun))
#endif

inline send(r, s) {
	i = 0;
	do
	:: i < SLOTS && inFlight[i] -> i++
	:: else -> break
	od;
	if
	:: i < SLOTS -> inFlight[i] = true; m_term[i] = term; m_run[i] = r; m_server[i] = s; m_incarnation[i] = incarnation[s]
	:: else
	fi
}

/* A server carries out the start in slot i. */
inline carryOut() {
	s = m_server[i];
	if
	:: m_incarnation[i] != incarnation[s] || FENCED(m_term[i], s) || m_run[i] <= highestRun[s] || running[s] == m_run[i]
	:: else ->
		fence[s] = MAX(fence[s], m_term[i]);
		assert(!done && running[0] == 0 && running[1] == 0);
		running[s] = m_run[i];
		lease[s] = true;
		if /* the response may be lost */
		:: live && order == FLIGHT && m_run[i] == currentRun && m_term[i] == term -> order = TAKEN
		:: true
		fi
	fi;
	inFlight[i] = false
}

/* The leader learns of a server's new incarnation. */
inline learn(s) {
	knownIncarnation[s] = incarnation[s];
	if
	:: live && currentServer == s ->
#ifdef REBORN_LOST
		live = false; order = NONE
#else
		if
		:: order == STOPPED -> order = UNANSWERED
		:: else
		fi
#endif
	:: else
	fi
}

/* The leader receives a report of the server to which the run is assigned. */
inline hold() {
	s = currentServer;
	if
	:: FENCED(term, s)
	:: else ->
		fence[s] = MAX(fence[s], term);
		lease[s] = true;
		if
		:: knownIncarnation[s] != incarnation[s] -> learn(s)
		:: else ->
			if
			:: ended[s] == currentRun -> done = true; live = false; order = NONE
			:: else ->
				if
				:: running[s] == currentRun -> order = TAKEN
				:: else ->
					if
					:: order == NONE || order == TAKEN || order == STOPPED -> live = false; order = NONE
#ifdef LOST_UNSTOPPED
					:: order == UNANSWERED -> live = false; order = NONE
#endif
					:: else
					fi
				fi
			fi
		fi
	fi
}

inline stop() {
	s = currentServer;
	if
	:: FENCED(term, s)
	:: else ->
		fence[s] = MAX(fence[s], term);
		highestRun[s] = MAX(highestRun[s], currentRun);
		if
		:: running[s] == currentRun -> running[s] = 0
		:: else
		fi;
		if /* the response may be lost */
		:: order = STOPPED
		:: true
		fi
	fi
}

active proctype leader() {
	do
	:: atomic { !live && !done && currentRun < MAXRUN ->
		if
		:: s = 0
		:: s = 1
		fi;
		send(currentRun + 1, s);
#ifdef START_FIRST
		if
		:: currentRun++; currentServer = s; live = true; order = FLIGHT
		:: term < MAXTERM -> term++; currentRun++ /* the commit is lost with the leader; its run number is reused or skipped */
		fi
#else
		currentRun++; currentServer = s; live = true; order = FLIGHT
#endif
	}
	:: atomic { live && order == FLIGHT -> order = UNANSWERED }
	:: atomic { live && order == UNANSWERED -> stop() }
	:: atomic { live -> hold() }
	:: atomic { live && order != FLIGHT && LAPSED -> live = false; order = NONE } /* the server is silent */
	:: atomic { knownIncarnation[0] != incarnation[0] -> learn(0) }
	:: atomic { knownIncarnation[1] != incarnation[1] -> learn(1) }
	:: atomic { term < MAXTERM -> term++; order = NONE }
	:: done || currentRun == MAXRUN -> skip
	od
}

active proctype servers() {
	do
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: inFlight[i] -> carryOut()
		:: inFlight[i] -> inFlight[i] = false /* its deadline has passed */
		:: else
		fi
	}
	:: atomic {
		if
		:: s = 0
		:: s = 1
		fi;
		if
		:: lease[s] -> lease[s] = false; running[s] = 0
		:: running[s] > 0 -> ended[s] = running[s]; highestRun[s] = MAX(highestRun[s], running[s]); running[s] = 0
		:: restarts < MAXLIFE ->
			restarts++; incarnation[s]++; fence[s] = 0; highestRun[s] = 0; running[s] = 0; ended[s] = 0; lease[s] = false
		:: else
		fi
	}
	od
}
