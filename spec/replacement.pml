/*
 * Model of the replicated log while its machines are replaced for good: learners are promoted, voters removed and
 * leaders elected in between; removed members wake, and a new disk comes at the address of a lost one. The code is
 * internal/process/replica/core (members.go, election.go, leader.go, follower.go), internal/process/electorate and
 * internal/jobcontrol (members.go, identity.go).
 *
 * A member is a disk: its name holds its address and a random part that is stored on the disk. Disk SUCCESSOR is the
 * new disk at the address of disk LOST. Any disk may act, or receive what was sent, at any later time or never again.
 * This covers disks that are lost, removed members that wake, links that fail, and messages that are lost, late or
 * repeated. Each disk that is no voter may be a learner: it receives entries and answers, also votes,
 * and may be promoted whatever it holds: whether it keeps up (catchup.go) only matters to how long commits take. Entries that add
 * or remove a learner change no quorum and are left out. A removed member may be promoted again. The code drops messages
 * that name another receiver and those of an unexpected disk; the model doesn't rely on that.
 *
 * An entry is durable when it is acknowledged, and so is a vote when it is granted; controllog.pml covers crashes
 * that lose unsynced data. Snapshots are left out: a received one sets log and membership as its entries would.
 * Silence is not modelled: any voter but the leader may be taken for dead at any time.
 *
 * Disk 0 starts as the leader of term 1. The entry with which it began its term is committed and on all disks; it has
 * no index. INITIAL is the set of voters: 7 is a log at full strength; 15 is one whose successor is promoted, but whose
 * lost voter is not removed yet. A new leader appends an empty entry; PROPOSALS adds commands.
 *
 * Sizes: N disks, terms 1 to T, L log entries; the first CANDIDATES disks may campaign. Mutations: MUTATE_PENDING
 * changes members while the last change is not committed; MUTATE_TERM before the leader has committed an entry of its
 * own term; MUTATE_PAIR exchanges two voters in one change; MUTATE_CAUGHT_UP takes it that a new voter holds
 * all entries, which it may lack; MUTATE_ORDER removes a voter before its successor is promoted; MUTATE_VOTES counts votes of disks that are
 * no voters; MUTATE_ACKS counts their acknowledgements; MUTATE_IDENTITY gives the new disk at the lost one's address
 * the lost one's name; MUTATE_ROLLBACK keeps the membership of an entry that was replaced.
 *
 * check: pass -DN=4 -DT=3 -DL=2 -DINITIAL=7
 * check: pass -DN=4 -DT=3 -DL=2 -DINITIAL=15
 * check: pass -DN=4 -DT=3 -DL=3 -DINITIAL=7 -DCANDIDATES=2
 * check: pass -DN=4 -DT=2 -DL=4 -DINITIAL=7
 * check: pass -DN=4 -DT=2 -DL=3 -DINITIAL=7 -DPROPOSALS
 * check: pass -DN=5 -DT=2 -DL=2 -DINITIAL=7
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_PENDING
 * check: fail -DN=4 -DT=3 -DL=2 -DINITIAL=15 -DMUTATE_TERM
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_PAIR
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_CAUGHT_UP
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_ORDER
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_VOTES
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_ACKS
 * check: fail -DN=4 -DT=2 -DL=2 -DINITIAL=7 -DMUTATE_IDENTITY
 * check: fail -DN=4 -DT=3 -DL=2 -DINITIAL=15 -DMUTATE_ROLLBACK
 */
#ifndef N
#define N 4
#endif
#ifndef T
#define T 3
#endif
#ifndef L
#define L 2
#endif
#ifndef INITIAL
#define INITIAL 7
#endif
#ifndef CANDIDATES
#define CANDIDATES N
#endif
#define TARGET 3
#define LOST 1
#define SUCCESSOR 3

#define AT(t, k) (((t) - 1) * L + (k)) /* entry k, from 0, of the leader of term t */
#define SET(n) (1 << (n))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) + (((set) >> 4) & 1))
#define NEEDED(voters) (COUNT(voters) / 2 + 1)
#define QUORUM(set, voters) (COUNT((set) & (voters)) >= NEEDED(voters))
#define LAST_TERM(n) (node[n].size == 0 -> 1 : node[n].logTerm[node[n].size - 1])
/* The log of disk a is at least as up to date as that of disk b. */
#define UP_TO_DATE(a, b) (LAST_TERM(a) > LAST_TERM(b) || (LAST_TERM(a) == LAST_TERM(b) && node[a].size >= node[b].size))
#define COMMIT_TERM(n) (node[n].commit == 0 -> 1 : node[n].logTerm[node[n].commit - 1])

#ifdef MUTATE_IDENTITY
#define MEMBER(n) ((n) == SUCCESSOR -> LOST : (n))
#else
#define MEMBER(n) (n)
#endif

#ifdef MUTATE_VOTES
#define COUNTED_VOTES(n) (node[n].granted)
#else
#define COUNTED_VOTES(n) (node[n].granted & node[n].voters)
#endif

#ifdef MUTATE_ACKS
#define COUNTED_ACKS(n, k) (node[n].acks[(k) - 1])
#else
#define COUNTED_ACKS(n, k) (node[n].acks[(k) - 1] & node[n].voters)
#endif

#ifdef MUTATE_PENDING
#define NO_CHANGE_PENDING(n) true
#else
#define NO_CHANGE_PENDING(n) (node[n].changed <= node[n].commit)
#endif

#ifdef MUTATE_TERM
#define COMMITTED_IN_TERM(n) true
#else
#define COMMITTED_IN_TERM(n) (COMMIT_TERM(n) == node[n].term)
#endif

#ifdef MUTATE_ORDER
#define MAY_REMOVE(n) (COUNT(node[n].voters) >= TARGET)
#else
#define MAY_REMOVE(n) (COUNT(node[n].voters) > TARGET)
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Disk {
	byte role;
	byte term;
	byte vote; /* 0, or the candidate + 1 */
	byte size;
	byte logTerm[L];
	byte voters;  /* membership in force: that of the last entry that sets one */
	byte changed; /* index of that entry */
	byte commit;  /* on a leader: what it knows to be committed in its term */
	byte granted; /* set of members that voted for this candidate */
	byte acks[L]; /* set of members that acknowledged an entry to this leader */
}

/* What the leader of a term has sent. */
typedef Sent {
	byte leader; /* 0, or the leader + 1 */
	byte size;
	byte logTerm[L];
}

Disk node[N];
Sent sent[T + 1];
byte membership[T * L]; /* the voters that entry AT(term, index) sets, or 0 */

/* The first entry committed at each index, and the term of the leader that committed it. */
byte chosenTerm[L];
byte chosenInTerm[L];
byte goneIn[N]; /* term in which the removal of a member was committed */
byte rejoined;  /* set of removed members that a leader promoted again */

byte i, j, to, set, other;
bool separate, durable;
bool logChanged; /* the step changed a log */
byte changer;    /* the step removed a voter, or committed an entry while no change was pending: the leader + 1 */

inline retire(n) {
	node[n].role = FOLLOWER;
	node[n].granted = 0;
	node[n].commit = 0;
	i = 0;
	do
	:: i < L -> node[n].acks[i] = 0; i++
	:: else -> break
	od;
	i = 0
}

inline follow(n, newTerm) {
	if
	:: newTerm > node[n].term ->
		retire(n);
		node[n].term = newTerm;
		node[n].vote = 0
	:: newTerm == node[n].term && node[n].role == CANDIDATE -> retire(n)
	:: else
	fi
}

/* Sets the membership in force after the log changed. */
inline loadMembership(n) {
	node[n].voters = INITIAL;
	node[n].changed = 0;
	i = 0;
	do
	:: i < node[n].size ->
		if
		:: membership[AT(node[n].logTerm[i], i)] != 0 ->
			node[n].voters = membership[AT(node[n].logTerm[i], i)];
			node[n].changed = i + 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* The number of voters that disk n's quorum lacks if it has those of set. */
#define MISSING(n, set) (COUNT(set) >= NEEDED(node[n].voters) -> 0 : NEEDED(node[n].voters) - COUNT(set))

/* Never two disjoint quorums: a quorum that can still commit what a leader sends, and one that can still elect another
 * disk, have a disk in common. */
inline checkQuorums() {
	i = 0;
	do
	:: i < N ->
		if
		:: node[i].role == LEADER ->
			/* set: voters of the leader that have not joined a later term */
			set = 0;
			j = 0;
			do
			:: j < N -> set = set | (node[j].term <= node[i].term -> SET(MEMBER(j)) : 0); j++
			:: else -> break
			od;
			set = set & node[i].voters;
			j = 0;
			do
			:: j < N && QUORUM(set, node[i].voters) ->
				if
				:: j != i && (node[j].voters & SET(j)) ->
					/* other: voters of disk j that may vote for it */
					other = 0;
					to = 0;
					do
					:: to < N -> other = other | (UP_TO_DATE(j, to) -> SET(MEMBER(to)) : 0); to++
					:: else -> break
					od;
					to = 0;
					other = other & node[j].voters;
					separate = QUORUM(other, node[j].voters) &&
						MISSING(i, set & ~other) + MISSING(j, other & ~set) <= COUNT(set & other);
					assert(!separate);
					other = 0
				:: else
				fi;
				j++
			:: else -> break
			od;
			j = 0;
			set = 0
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Acknowledges the first count entries to the leader of the term, if it still leads. */
inline acknowledge(n, count) {
	to = sent[node[n].term].leader;
	if
	:: to != 0 && node[to - 1].role == LEADER && node[to - 1].term == node[n].term ->
		to--;
		i = 0;
		do
		:: i < count -> node[to].acks[i] = node[to].acks[i] | SET(MEMBER(n)); i++
		:: else -> break
		od;
		i = 0
	:: else
	fi;
	to = 0
}

/* Appends an entry that sets the given voters, or none. */
inline append(n, next) {
	node[n].logTerm[node[n].size] = node[n].term;
	sent[node[n].term].logTerm[node[n].size] = node[n].term;
	membership[AT(node[n].term, node[n].size)] = next;
	node[n].size++;
	sent[node[n].term].size = node[n].size;
	logChanged = true;
	loadMembership(n);
	acknowledge(n, node[n].size)
}

/* A leader may have stepped down before, since it heard no quorum or a higher term. */
inline campaign(n) {
	d_step {
		n < CANDIDATES && node[n].term < T && (node[n].voters & SET(n)) ->
		retire(n);
		node[n].term++;
		node[n].role = CANDIDATE;
		node[n].vote = n + 1;
		node[n].granted = SET(MEMBER(n))
	}
}

/* Grants a vote, whether or not either disk is a member. A disk that refuses one may still be taken to a higher term, which
 * allows it nothing more than waiting does, so that is left out. */
inline handleVote(n, c) {
	d_step {
		c != n && node[c].role == CANDIDATE &&
		(node[c].term > node[n].term || (node[c].term == node[n].term && node[n].vote == 0)) && UP_TO_DATE(c, n) ->
		follow(n, node[c].term);
		node[n].vote = c + 1;
		node[c].granted = node[c].granted | SET(MEMBER(n))
	}
}

inline lead(n) {
	d_step {
		node[n].role == CANDIDATE && COUNT(COUNTED_VOTES(n)) >= NEEDED(node[n].voters) ->
		/* Election safety: at most one leader per term. */
		assert(sent[node[n].term].leader == 0);
		i = 0;
		do
		:: i < L ->
			/* Leader completeness: a leader's log holds every entry committed in an earlier term. */
			assert(chosenTerm[i] == 0 || chosenInTerm[i] >= node[n].term ||
				(i < node[n].size && chosenTerm[i] == node[n].logTerm[i]));
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < N ->
			/* A member whose removal was committed in an earlier term elects no leader. */
			assert(!(COUNTED_VOTES(n) & SET(i)) || goneIn[i] == 0 || goneIn[i] >= node[n].term ||
				(rejoined & SET(i)));
			i++
		:: else -> break
		od;
		node[n].role = LEADER;
		node[n].granted = 0;
		sent[node[n].term].leader = n + 1;
		sent[node[n].term].size = node[n].size;
		i = 0;
		do
		:: i < node[n].size -> sent[node[n].term].logTerm[i] = node[n].logTerm[i]; i++
		:: else -> break
		od;
		if
		:: node[n].size < L -> append(n, 0)
		:: else ->
			acknowledge(n, node[n].size);
			logChanged = true
		fi
	}
}

#ifdef PROPOSALS
inline propose(n) {
	d_step {
		node[n].role == LEADER && node[n].size < L -> append(n, 0)
	}
}
#define PROPOSE(n) :: propose(n)
#else
#define PROPOSE(n)
#endif

/* Every committed entry is on the disks of a quorum of the voters in force, unless a voter was just added: the new one gets what it lacks
 * before the change is committed, and no other change comes before that. */
inline checkDurable(n) {
	i = 0;
	do
	:: i < node[n].commit ->
		other = 0;
		j = 0;
		do
		:: j < N ->
			other = other | (i < node[j].size && node[j].logTerm[i] == node[n].logTerm[i] -> SET(j) : 0);
			j++
		:: else -> break
		od;
		j = 0;
		durable = QUORUM(other, node[n].voters);
		assert(durable);
		durable = false;
		other = 0;
		i++
	:: else -> break
	od;
	i = 0
}

#define MAY_CHANGE(n) (node[n].role == LEADER && node[n].size < L && NO_CHANGE_PENDING(n) && COMMITTED_IN_TERM(n))

inline promote(n, d) {
	d_step {
		MAY_CHANGE(n) && !(node[n].voters & SET(d)) && COUNT(node[n].voters) <= TARGET ->
		rejoined = rejoined | (goneIn[d] != 0 -> SET(d) : 0);
		append(n, node[n].voters | SET(d));
#ifdef MUTATE_CAUGHT_UP
		i = 0;
		do
		:: i < node[n].size -> node[n].acks[i] = node[n].acks[i] | SET(d); i++
		:: else -> break
		od;
		i = 0;
#endif
		skip
	}
}

inline remove(n, d) {
	d_step {
		MAY_CHANGE(n) && d != n && (node[n].voters & SET(d)) && MAY_REMOVE(n) ->
		append(n, node[n].voters & ~SET(d));
		changer = n + 1
	}
}

#ifdef MUTATE_PAIR
inline exchange(n, d) {
	d_step {
		MAY_CHANGE(n) && d != n && (node[n].voters & SET(d)) && !(node[n].voters & SET(SUCCESSOR)) ->
		append(n, (node[n].voters & ~SET(d)) | SET(SUCCESSOR))
	}
}
#endif

/* Receives entry k (from 1) from the leader of term t. */
inline handleAppend(n, t, k) {
	d_step {
		sent[t].leader != 0 && sent[t].leader != n + 1 && t >= node[n].term && k <= sent[t].size &&
		(k == 1 || (k - 1 <= node[n].size && node[n].logTerm[k - 2] == sent[t].logTerm[k - 2])) ->
		follow(n, t);
		if
		:: node[n].size >= k && node[n].logTerm[k - 1] == sent[t].logTerm[k - 1]
		:: else ->
			i = k;
			do
			:: i < L -> node[n].logTerm[i] = 0; i++
			:: else -> break
			od;
			i = 0;
			node[n].size = k;
			node[n].logTerm[k - 1] = sent[t].logTerm[k - 1];
			logChanged = true;
#ifdef MUTATE_ROLLBACK
			if
			:: membership[AT(sent[t].logTerm[k - 1], k - 1)] != 0 || node[n].changed == 0 -> loadMembership(n)
			:: else
			fi
#else
			loadMembership(n)
#endif
		fi;
		acknowledge(n, k)
	}
}

/* Commits entry k if a quorum of the voters in force acknowledged it and it is of the leader's own term. */
inline commitEntry(n, k) {
	d_step {
		node[n].role == LEADER && k > node[n].commit && k <= node[n].size && node[n].logTerm[k - 1] == node[n].term &&
		COUNT(COUNTED_ACKS(n, k)) >= NEEDED(node[n].voters) ->
		i = 0;
		do
		:: i < N ->
			/* A member whose removal was committed counts in no later quorum. */
			assert(!(COUNTED_ACKS(n, k) & SET(i)) || goneIn[i] == 0 || goneIn[i] > node[n].term ||
				(rejoined & SET(i)));
			i++
		:: else -> break
		od;
		node[n].commit = k;
		changer = (NO_CHANGE_PENDING(n) -> n + 1 : 0);
		i = 0;
		set = INITIAL;
		do
		:: i < k ->
			if
			:: chosenTerm[i] == 0 ->
				chosenTerm[i] = node[n].logTerm[i];
				chosenInTerm[i] = node[n].term
			:: else
			fi;
			/* State machine safety: the entries committed at an index never differ. */
			assert(chosenTerm[i] == node[n].logTerm[i]);
			other = membership[AT(node[n].logTerm[i], i)];
			if
			:: other != 0 ->
				j = 0;
				do
				:: j < N ->
					if
					:: (set & ~other & SET(j)) && goneIn[j] == 0 -> goneIn[j] = chosenInTerm[i]
					:: else
					fi;
					j++
				:: else -> break
				od;
				j = 0;
				set = other
			:: else
			fi;
			other = 0;
			i++
		:: else -> break
		od;
		i = 0;
		set = 0
	}
}

#if N >= 5
#define EACH(step, n) :: step(n, 0) :: step(n, 1) :: step(n, 2) :: step(n, 3) :: step(n, 4)
#else
#define EACH(step, n) :: step(n, 0) :: step(n, 1) :: step(n, 2) :: step(n, 3)
#endif

#if L >= 4
#define COMMITS(n) :: commitEntry(n, 1) :: commitEntry(n, 2) :: commitEntry(n, 3) :: commitEntry(n, 4)
#define APPENDS(n, t) :: handleAppend(n, t, 1) :: handleAppend(n, t, 2) :: handleAppend(n, t, 3) :: handleAppend(n, t, 4)
#elif L >= 3
#define COMMITS(n) :: commitEntry(n, 1) :: commitEntry(n, 2) :: commitEntry(n, 3)
#define APPENDS(n, t) :: handleAppend(n, t, 1) :: handleAppend(n, t, 2) :: handleAppend(n, t, 3)
#elif L >= 2
#define COMMITS(n) :: commitEntry(n, 1) :: commitEntry(n, 2)
#define APPENDS(n, t) :: handleAppend(n, t, 1) :: handleAppend(n, t, 2)
#else
#define COMMITS(n) :: commitEntry(n, 1)
#define APPENDS(n, t) :: handleAppend(n, t, 1)
#endif

#if T >= 3
#define MESSAGES(n) APPENDS(n, 1) APPENDS(n, 2) APPENDS(n, 3)
#else
#define MESSAGES(n) APPENDS(n, 1) APPENDS(n, 2)
#endif

#ifdef MUTATE_PAIR
#define EXCHANGES(n) EACH(exchange, n)
#else
#define EXCHANGES(n)
#endif

#define STEPS(n) \
	:: campaign(n) \
	:: lead(n) \
	PROPOSE(n) \
	EACH(handleVote, n) \
	EACH(promote, n) \
	EACH(remove, n) \
	EXCHANGES(n) \
	COMMITS(n) \
	MESSAGES(n)

active proctype schedule() {
	d_step {
		i = 0;
		do
		:: i < N ->
			node[i].term = 1;
			node[i].vote = 1;
			node[i].voters = INITIAL;
			i++
		:: else -> break
		od;
		i = 0;
		node[0].role = LEADER;
		sent[1].leader = 1
	}
	/* The checks that are common to several steps stand here once: repeated in each step they take gcc long. */
end:
	do
	:: atomic {
		if
		STEPS(0)
		STEPS(1)
		STEPS(2)
		STEPS(3)
#if N >= 5
		STEPS(4)
#endif
		fi;
		d_step {
			if
			:: changer != 0 -> checkDurable(changer - 1)
			:: else
			fi;
			if
			:: logChanged -> checkQuorums()
			:: else
			fi;
			changer = 0;
			logChanged = false
		}
	}
	od
}
