/*
 * Model of the control log's core: elections, replication, commit, crashes that lose unsynced data, and
 * the rule that the first commit under a sheet number is the accepted one. docs/design/control-log.md maps
 * each step to a function of the code.
 *
 * The model keeps each sent message: a vote request, or an entry sent by the leader of a term. Any replica may
 * receive a sent message at any later time, never, or more than once. This covers messages that are lost, late,
 * repeated or out of order, links that fail for any time or in one direction only, and frozen replicas. Votes
 * and acknowledgements are recorded at the receiver when they are sent, and the receiver may act on them at any
 * later time. The first CANDIDATES replicas may campaign at any time. Timeouts, pre-vote and the step-down of a
 * leader without a quorum only make campaigns rarer, so they are covered too.
 *
 * Term and vote are synced in the step that changes them: a crash before that sync is equivalent to a
 * message that did not arrive. Log entries are synced in a separate step, and a leader may send them before that.
 *
 * Sizes: N replicas, terms 1 to T, L log entries. Mutations: MUTATE_COMMIT commits entries of earlier
 * terms by counting replicas; MUTATE_SYNC acknowledges entries before they are synced; MUTATE_VOTED loses the
 * vote in a crash; MUTATE_VOTE votes without comparing logs; MUTATE_SHEET accepts the last commit under a number.
 *
 * check: pass -DT=4 -DL=1 -DCANDIDATES=2
 * check: pass -DT=3 -DL=2 -DCANDIDATES=2
 * check: pass -DT=3 -DL=1 -DCANDIDATES=3
 * check: fail -DT=4 -DL=1 -DMUTATE_COMMIT
 * check: fail -DT=3 -DL=1 -DMUTATE_SYNC
 * check: fail -DT=3 -DL=1 -DMUTATE_VOTED
 * check: fail -DT=3 -DL=1 -DMUTATE_VOTE
 * check: fail -DT=3 -DL=2 -DMUTATE_SHEET
 */
#define N 3
#ifndef T
#define T 4
#endif
#ifndef L
#define L 2
#endif
#ifndef CANDIDATES
#define CANDIDATES 2
#endif
#define AT(t, n) (((t) - 1) * N + (n))
#define LAST_TERM(n) (node[n].size == 0 -> 0 : node[n].logTerm[node[n].size - 1])
#define QUORUM(mask) ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == 7)
#define SELF(n) (1 << (n))

#ifdef MUTATE_COMMIT
#define COMMITTABLE(n, k) true
#else
#define COMMITTABLE(n, k) (node[n].logTerm[(k) - 1] == node[n].term)
#endif

#ifdef MUTATE_VOTE
#define UP_TO_DATE(n, t, c) true
#else
#define UP_TO_DATE(n, t, c) (voteRequest[AT(t, c)].lastTerm > LAST_TERM(n) || \
	(voteRequest[AT(t, c)].lastTerm == LAST_TERM(n) && voteRequest[AT(t, c)].size >= node[n].size))
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Replica {
	byte role;
	byte term;
	byte vote; /* 0, or the candidate + 1 */
	byte size;
	byte logTerm[L];
	byte digest[L]; /* of a sheet with number 1 */
	byte synced;    /* number of entries on disk */
	byte match;     /* number of entries known to match those of the term's leader */
	byte commit;
	byte granted;   /* set of replicas that voted for this candidate */
	byte acks[L];   /* set of replicas that acknowledged an entry to this leader */
}

/* What the leader of a term has sent. */
typedef Sent {
	byte leader; /* 0, or the leader + 1 */
	byte size;
	byte logTerm[L];
	byte digest[L];
	byte commit;
}

/* A request for votes. */
typedef Request {
	bool sent;
	byte size;
	byte lastTerm;
}

Replica node[N];
Sent sent[T + 1];
Request voteRequest[T * N];

/* The first entry committed at each index, the term of the replica that committed it, and the digest accepted for
 * sheet number 1. */
byte chosenTerm[L];
byte chosenDigest[L];
byte chosenInTerm[L];
byte acceptedDigest;

byte i, to;

/* Becomes a follower and resets the state that belongs to the current term's candidacy, leadership or leader. */
inline retire(n) {
	node[n].role = FOLLOWER;
	node[n].granted = 0;
	node[n].match = 0;
	i = 0;
	do
	:: i < L -> node[n].acks[i] = 0; i++
	:: else -> break
	od;
	i = 0
}

/* Deletes the sent messages of terms that all replicas have passed. Every replica ignores them, and deleting them
 * keeps the number of states small. */
inline tidy() {
	to = 1;
	do
	:: to <= T && node[0].term > to && node[1].term > to && node[2].term > to ->
		sent[to].leader = 0;
		sent[to].size = 0;
		sent[to].commit = 0;
		i = 0;
		do
		:: i < L -> sent[to].logTerm[i] = 0; sent[to].digest[i] = 0; i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < N ->
			voteRequest[AT(to, i)].sent = false;
			voteRequest[AT(to, i)].size = 0;
			voteRequest[AT(to, i)].lastTerm = 0;
			i++
		:: else -> break
		od;
		to++
	:: else -> break
	od;
	i = 0;
	to = 0
}

inline follow(n, newTerm) {
	if
	:: newTerm > node[n].term ->
		retire(n);
		node[n].term = newTerm;
		node[n].vote = 0;
		tidy()
	:: node[n].role == CANDIDATE -> retire(n)
	:: else
	fi
}

/* Acknowledges the first count entries to the leader of the term, if it still leads. */
inline acknowledge(n, count) {
	to = sent[node[n].term].leader;
	if
	:: to != 0 ->
		to--;
		if
		:: node[to].role == LEADER && node[to].term == node[n].term ->
			i = 0;
			do
			:: i < count -> node[to].acks[i] = node[to].acks[i] | SELF(n); i++
			:: else -> break
			od;
			i = 0
		:: else
		fi
	:: else
	fi;
	to = 0
}

/* Applies the committed entries. The state machine accepts the first commit under a sheet number. */
inline applied(n) {
	i = 0;
	do
	:: i < node[n].commit ->
		if
		:: chosenTerm[i] == 0 ->
			chosenTerm[i] = node[n].logTerm[i];
			chosenDigest[i] = node[n].digest[i];
			chosenInTerm[i] = node[n].term
		:: else
		fi;
		/* State machine safety: no two replicas apply different entries at an index. */
		assert(chosenTerm[i] == node[n].logTerm[i] && chosenDigest[i] == node[n].digest[i]);
		i++
	:: else -> break
	od;
#ifdef MUTATE_SHEET
	i = node[n].commit - 1;
#else
	i = 0;
#endif
	if
	:: acceptedDigest == 0 -> acceptedDigest = node[n].digest[i]
	:: else
	fi;
	/* The sheet accepted under a number never changes. */
	assert(acceptedDigest == node[n].digest[i]);
	i = 0
}

inline campaign(n) {
	d_step {
		n < CANDIDATES && node[n].role != LEADER && node[n].term < T ->
		retire(n);
		node[n].term++;
		node[n].role = CANDIDATE;
		node[n].vote = n + 1;
		node[n].granted = SELF(n);
		node[n].synced = node[n].size;
		voteRequest[AT(node[n].term, n)].sent = true;
		voteRequest[AT(node[n].term, n)].size = node[n].size;
		voteRequest[AT(node[n].term, n)].lastTerm = LAST_TERM(n);
		tidy()
	}
}

/* Syncs the log, then acknowledges the entries that match the leader's. */
inline sync(n) {
	d_step {
		node[n].synced < node[n].size ->
		node[n].synced = node[n].size;
		if
		:: node[n].role == LEADER -> acknowledge(n, node[n].size)
		:: else -> acknowledge(n, node[n].match)
		fi
	}
}

inline crash(n) {
	d_step {
		node[n].synced < node[n].size || node[n].role != FOLLOWER || node[n].commit > 0 || node[n].match > 0 ->
		retire(n);
		node[n].size = node[n].synced;
		i = node[n].size;
		do
		:: i < L -> node[n].logTerm[i] = 0; node[n].digest[i] = 0; i++
		:: else -> break
		od;
		i = 0;
		node[n].commit = 0
#ifdef MUTATE_VOTED
		;
		node[n].vote = 0
#endif
	}
}

inline handleVote(n, t, c) {
	d_step {
		c != n && voteRequest[AT(t, c)].sent && (t > node[n].term || (t == node[n].term && node[n].vote == 0)) ->
		follow(n, t);
		if
		:: UP_TO_DATE(n, t, c) ->
			node[n].vote = c + 1;
			node[n].synced = node[n].size;
			if
			:: node[c].role == CANDIDATE && node[c].term == t -> node[c].granted = node[c].granted | SELF(n)
			:: else
			fi
		:: else
		fi
	}
}

inline lead(n) {
	d_step {
		node[n].role == CANDIDATE && QUORUM(node[n].granted) ->
		/* Election safety: at most one leader per term. */
		assert(sent[node[n].term].leader == 0);
		node[n].role = LEADER;
		node[n].granted = 0;
		sent[node[n].term].leader = n + 1;
		sent[node[n].term].size = node[n].size;
		i = 0;
		do
		:: i < L ->
			/* Leader completeness: a leader's log holds every entry committed in an earlier term. */
			assert(chosenTerm[i] == 0 || chosenInTerm[i] >= node[n].term ||
				(i < node[n].size && chosenTerm[i] == node[n].logTerm[i]));
			sent[node[n].term].logTerm[i] = node[n].logTerm[i];
			sent[node[n].term].digest[i] = node[n].digest[i];
			i++
		:: else -> break
		od;
		i = 0;
		acknowledge(n, node[n].synced)
	}
}

/* An operator submits sheet number 1 to the leader, with content that differs from that of the other leaders'
 * operators. The leader may send the entry before it has synced it. */
inline propose(n) {
	d_step {
		node[n].role == LEADER && node[n].size < L ->
		node[n].logTerm[node[n].size] = node[n].term;
		node[n].digest[node[n].size] = n + 1;
		sent[node[n].term].logTerm[node[n].size] = node[n].term;
		sent[node[n].term].digest[node[n].size] = n + 1;
		node[n].size++;
		sent[node[n].term].size = node[n].size
#ifdef MUTATE_SYNC
		;
		acknowledge(n, node[n].size)
#endif
	}
}

/* Receives entry k (from 1) from the leader of term t, with the leader's commit index. */
inline handleAppend(n, t, k) {
	d_step {
		sent[t].leader != 0 && sent[t].leader != n + 1 && t >= node[n].term && k <= sent[t].size &&
		(k == 1 || (k - 1 <= node[n].size && node[n].logTerm[k - 2] == sent[t].logTerm[k - 2])) ->
		follow(n, t);
		if
		:: node[n].size >= k && node[n].logTerm[k - 1] == sent[t].logTerm[k - 1]
		:: else ->
			/* A committed entry is never replaced. */
			assert(k > node[n].commit);
			i = k;
			do
			:: i < L -> node[n].logTerm[i] = 0; node[n].digest[i] = 0; i++
			:: else -> break
			od;
			i = 0;
			node[n].size = k;
			node[n].synced = (node[n].synced < k -> node[n].synced : k - 1);
			node[n].logTerm[k - 1] = sent[t].logTerm[k - 1];
			node[n].digest[k - 1] = sent[t].digest[k - 1]
		fi;
		if
		:: node[n].match < k -> node[n].match = k
		:: else
		fi;
		if
		:: sent[t].commit > node[n].commit && k > node[n].commit ->
			node[n].commit = (sent[t].commit < k -> sent[t].commit : k);
			applied(n)
		:: else
		fi;
#ifdef MUTATE_SYNC
		acknowledge(n, node[n].match)
#else
		if
		:: node[n].match < node[n].synced -> acknowledge(n, node[n].match)
		:: else -> acknowledge(n, node[n].synced)
		fi
#endif
	}
}

/* Commits entry k if a quorum acknowledged it and it is of the leader's own term. */
inline commitEntry(n, k) {
	d_step {
		node[n].role == LEADER && k > node[n].commit && k <= node[n].size && QUORUM(node[n].acks[k - 1]) &&
		COMMITTABLE(n, k) ->
		node[n].commit = k;
		sent[node[n].term].commit = k;
		applied(n)
	}
}

#define VOTES(n, t) \
	:: handleVote(n, t, 0) \
	:: handleVote(n, t, 1) \
	:: handleVote(n, t, 2)

#if L >= 2
#define APPENDS(n, t) \
	:: handleAppend(n, t, 1) \
	:: handleAppend(n, t, 2)
#define COMMITS(n) \
	:: commitEntry(n, 1) \
	:: commitEntry(n, 2)
#else
#define APPENDS(n, t) :: handleAppend(n, t, 1)
#define COMMITS(n) :: commitEntry(n, 1)
#endif

#if T >= 4
#define MESSAGES(n) VOTES(n, 1) VOTES(n, 2) VOTES(n, 3) VOTES(n, 4) APPENDS(n, 1) APPENDS(n, 2) APPENDS(n, 3) APPENDS(n, 4)
#else
#define MESSAGES(n) VOTES(n, 1) VOTES(n, 2) VOTES(n, 3) APPENDS(n, 1) APPENDS(n, 2) APPENDS(n, 3)
#endif

#define STEPS(n) \
	:: campaign(n) \
	:: sync(n) \
	:: crash(n) \
	:: lead(n) \
	:: propose(n) \
	COMMITS(n) \
	MESSAGES(n)

active proctype schedule() {
end:
	do
	STEPS(0)
	STEPS(1)
	STEPS(2)
	od
}
