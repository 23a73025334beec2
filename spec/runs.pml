/* Runs of one task on two backend servers under leaders that change: internal/dispatch and internal/request/ledger. The record
 * is the committed state; what a leader believes of its order dies with its term. Starts are carried out late or never. Servers
 * crash and start anew under their ids, their leases lapse, answers are lost. A call goes to the life that its connection
 * reached; the leader may not know that life yet. Clocks are abstracted: a leader concludes that a lease has lapsed only
 * once it has, and a start whose deadline has passed is dropped.
 *
 * Invariant: a task starts only while it runs nowhere, and never after its end was committed.
 *
 * Each mutation must be caught:
 *   EARLY_LAPSE    runs of a silent server are given up before its lease has lapsed
 *   LOST_UNSTOPPED an order without an answer is taken for lost when a report lacks it
 *   REBORN_LOST    a new life's announcement closes all runs of its id
 *   NO_FENCE       servers take orders of earlier leaders
 *   START_FIRST    a start leaves before it is committed
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
#define SLOTS 3 /* starts under way, all together */
#ifndef MAXRUN
#define MAXRUN 3
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef MAXLIFE
#define MAXLIFE 2 /* restarts of servers, all together */
#endif

/* The record. */
bool live, done;
byte current, where;

/* The leader: its term and what it knows of the order of the live run. */
#define NONE 0       /* of an earlier leader, or nothing under way */
#define FLIGHT 1     /* the call is under way */
#define TAKEN 2
#define UNANSWERED 3
#define STOPPED 4
byte term = 1, order = NONE;
byte known[SERVERS]; /* lives that the leader knows */

/* The servers. */
byte life[SERVERS], fence[SERVERS], high[SERVERS], running[SERVERS], ended[SERVERS];
bool lease[SERVERS];
byte restarts;

hidden byte i, s; /* within one atomic step */

/* Starts under way. */
bool on[SLOTS];
byte m_term[SLOTS], m_run[SLOTS], m_server[SLOTS], m_life[SLOTS];

#define UNDERWAY(r) ((on[0] && m_run[0] == r) || (on[1] && m_run[1] == r) || (on[2] && m_run[2] == r))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef NO_FENCE
#define FENCED(t, s) false
#else
#define FENCED(t, s) (t < fence[s])
#endif

#ifdef EARLY_LAPSE
#define LAPSED true
#else
#define LAPSED (!lease[where] && running[where] == 0 && !UNDERWAY(current))
#endif

inline send(r, s) {
	i = 0;
	do
	:: i < SLOTS && on[i] -> i++
	:: else -> break
	od;
	if
	:: i < SLOTS -> on[i] = true; m_term[i] = term; m_run[i] = r; m_server[i] = s; m_life[i] = life[s]
	:: else
	fi
}

/* A server carries out the start in slot i. */
inline carryOut() {
	s = m_server[i];
	if
	:: m_life[i] != life[s] || FENCED(m_term[i], s) || m_run[i] <= high[s] || running[s] == m_run[i]
	:: else ->
		fence[s] = MAX(fence[s], m_term[i]);
		assert(!done && running[0] == 0 && running[1] == 0);
		running[s] = m_run[i];
		lease[s] = true;
		if /* the answer arrives, or not */
		:: live && order == FLIGHT && m_run[i] == current && m_term[i] == term -> order = TAKEN
		:: true
		fi
	fi;
	on[i] = false
}

/* The leader learns of a new life. */
inline learn(s) {
	known[s] = life[s];
	if
	:: live && where == s ->
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

/* A report of the server on which the run is. */
inline hold() {
	s = where;
	if
	:: FENCED(term, s)
	:: else ->
		fence[s] = MAX(fence[s], term);
		lease[s] = true;
		if
		:: known[s] != life[s] -> learn(s)
		:: else ->
			if
			:: ended[s] == current -> done = true; live = false; order = NONE
			:: else ->
				if
				:: running[s] == current -> order = TAKEN
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
	s = where;
	if
	:: FENCED(term, s)
	:: else ->
		fence[s] = MAX(fence[s], term);
		high[s] = MAX(high[s], current);
		if
		:: running[s] == current -> running[s] = 0
		:: else
		fi;
		if /* the answer arrives, or not */
		:: order = STOPPED
		:: true
		fi
	fi
}

active proctype leader() {
	do
	:: atomic { !live && !done && current < MAXRUN ->
		if
		:: s = 0
		:: s = 1
		fi;
		send(current + 1, s);
#ifdef START_FIRST
		if
		:: current++; where = s; live = true; order = FLIGHT
		:: term < MAXTERM -> term++; current++ /* the commit is lost with the leader; the number is used again or passed over */
		fi
#else
		current++; where = s; live = true; order = FLIGHT
#endif
	}
	:: atomic { live && order == FLIGHT -> order = UNANSWERED }
	:: atomic { live && order == UNANSWERED -> stop() }
	:: atomic { live -> hold() }
	:: atomic { live && order != FLIGHT && LAPSED -> live = false; order = NONE } /* the server is silent */
	:: atomic { known[0] != life[0] -> learn(0) }
	:: atomic { known[1] != life[1] -> learn(1) }
	:: atomic { term < MAXTERM -> term++; order = NONE }
	:: done || current == MAXRUN -> skip
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
		:: on[i] -> carryOut()
		:: on[i] -> on[i] = false /* its deadline has passed */
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
		:: running[s] > 0 -> ended[s] = running[s]; high[s] = MAX(high[s], running[s]); running[s] = 0
		:: restarts < MAXLIFE -> restarts++; life[s]++; fence[s] = 0; high[s] = 0; running[s] = 0; ended[s] = 0; lease[s] = false
		:: else
		fi
	}
	od
}
