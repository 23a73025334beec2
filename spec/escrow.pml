/* Model of the escrow of one team's permits: a holder lends permits of its slice to a borrower, and gives up
 * permits to another data centre through the control log. The other borrowers are modelled as taking any free
 * permits and using them at once, which is the worst case. Messages are lost, repeated and delayed; the borrower
 * and the holder crash and are replaced. Time is abstracted: a holder removes a borrower only after the borrower
 * has fenced itself, and lends its permits again only after its work has ended.
 *
 * Invariant: the amount of work that may run at any moment never exceeds LIMIT.
 *
 * Each mutation must be caught:
 *   TAKER_FIRST  the holder lends permits before their former borrower has returned them
 *   ANY_RESPONSE a borrower applies a response to a request that is not its latest
 *   NO_HOLD      the permits of a lost incarnation are lent again at once
 *   NO_ADOPT     a new holder starts with the whole slice free
 *   CLAIM_AGAIN  a borrower that was removed claims loans of the former holder a second time
 *   ANY_HOLDER   the log reduces a slice at the request of a holder that was replaced
 *
 * check: pass
 * check: pass -DMAXGIVE=2 -DMAXINC=2
 * check: fail -DTAKER_FIRST
 * check: fail -DANY_RESPONSE
 * check: fail -DNO_HOLD
 * check: fail -DNO_ADOPT
 * check: fail -DCLAIM_AGAIN
 * check: fail -DANY_HOLDER
 */
#define LIMIT 2
#ifndef MAXSEQ
#define MAXSEQ 3 /* requests of a borrower's incarnation */
#endif
#ifndef MAXINC
#define MAXINC 1 /* restarts of borrowers in total */
#endif
#ifndef MAXHOLD
#define MAXHOLD 1 /* replacements of the holder */
#endif
#ifndef MAXGIVE
#define MAXGIVE 1 /* permits given up to the other data centre */
#endif

/* One channel for each borrower and direction. */
chan requests = [1] of { byte, byte, byte, byte, byte };         /* inc, holder, seq, applied, held */
chan responses = [1] of { byte, byte, byte, byte, byte, bool };  /* inc, holder, seq, granted, target, void */
chan reductions = [1] of { byte, byte, byte };                   /* holder, slice incarnation, held */

/* The borrower. */
byte inc, seq, applied, held, target, running, borrowerHolder;
bool fenced;
byte orphans;      /* running work of lost incarnations */
byte restarts;

/* The current holder. */
byte holder, granted, knownInc, lastSeq, otherBorrowers, lost, unclaimed, reducedBound = LIMIT;
bool registered, claimed;
byte minInc;       /* lower incarnations have been removed */

/* The control log. */
byte slice = LIMIT, sliceInc, logHolder, otherDataCentre;

#define OUT       (granted + otherBorrowers + lost + unclaimed)
#define CEILING   (reducedBound < slice -> reducedBound : slice)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define USABLE    (fenced -> running : MAX(running, MIN(held, target)))
#define MAYRUN    (USABLE + otherBorrowers + orphans + otherDataCentre)

hidden byte m_inc, m_holder, m_seq, m_applied, m_held, m_target;
hidden byte m_void;

/* The borrower runs no work under a loan of a former holder. */
#define ENDED     (fenced && running == 0)

/* Drops a response that is still in transit: by now its borrower is fenced and would ignore it. */
#define EXPIRE if :: len(responses) > 0 -> responses?_, _, _, _, _, _ :: else fi

inline check() { assert(MAYRUN <= LIMIT) }

/* Account.Request: returns the permits that are above the target and not in use. */
inline request() {
	seq++;
	if
	:: held > target -> held = MAX(target, MIN(running, held))
	:: else
	fi;
	if
	:: fenced -> held = MIN(held, running); target = 0
	:: else
	fi;
	requests!inc, borrowerHolder, seq, applied, held
}

/* Bank.Borrow and Bank.Answer. */
inline borrow() {
	m_void = false;
	if
	:: m_holder != holder || m_inc < minInc -> m_void = true
	:: else ->
		if
		:: registered && m_inc > knownInc -> /* a new incarnation: the old one's permits are not lent again yet */
#ifndef NO_HOLD
			lost = lost + granted;
#endif
			granted = 0; registered = false; claimed = false; minInc = m_inc; lastSeq = 0
		:: else
		fi;
		if
		:: !registered ->
			if
#ifdef CLAIM_AGAIN
			:: m_applied == 0 && m_seq > lastSeq && m_held <= unclaimed ->
#else
			:: m_applied == 0 && m_seq > lastSeq && m_held <= unclaimed && (!claimed || m_held == 0) ->
#endif
				registered = true; claimed = true; knownInc = m_inc;
				unclaimed = unclaimed - m_held; granted = m_held
			:: else -> m_void = true
			fi
		:: else
		fi;
		if
		:: !m_void && m_seq > lastSeq ->
			lastSeq = m_seq;
			granted = MIN(granted, m_held);
				if
#ifdef TAKER_FIRST
			:: granted + lost + unclaimed < CEILING -> granted++
#else
			:: OUT < CEILING -> granted = granted + (CEILING - OUT)
			:: OUT < CEILING -> granted++
#endif
			:: true
			fi
		:: else
		fi
	fi;
	if
	:: m_holder == holder && (m_void || m_seq == lastSeq) && len(responses) < 1 ->
		if
		:: responses!m_inc, holder, m_seq, granted, granted, m_void
		:: responses!m_inc, holder, m_seq, granted, 0, m_void /* asks for all permits back */
		fi
	:: else
	fi
}

/* Account.Apply. */
inline apply() {
	if
#ifdef ANY_RESPONSE
	:: m_inc == inc ->
#else
	:: m_inc == inc && m_seq == seq && m_holder == borrowerHolder ->
#endif
		if
		:: m_void -> held = 0; target = 0; applied = 0
		:: else -> held = m_held; target = m_target; applied = m_seq; fenced = false
		fi
	:: else
	fi
}

active proctype borrower() {
end:
	do
	:: atomic { seq < MAXSEQ && len(requests) < 1 -> request(); check() }
	:: atomic { /* a response arrives, possibly more than once */
		if
		:: responses?m_inc, m_holder, m_seq, m_held, m_target, m_void -> apply()
		:: responses?<m_inc, m_holder, m_seq, m_held, m_target, m_void> -> apply()
		:: responses?m_inc, m_holder, m_seq, m_held, m_target, m_void /* lost */
		fi;
		check()
	}
	:: atomic { !fenced && running < MIN(held, target) -> running++; check() }
	:: atomic { running > 0 -> running-- }
	:: atomic { !fenced -> fenced = true; held = MIN(held, running); target = 0 }
	:: atomic { borrowerHolder != logHolder -> borrowerHolder = logHolder; applied = 0 }
	:: atomic { /* the borrower crashes; its work continues on the backend servers */
		restarts < MAXINC ->
			restarts++; inc++; orphans = orphans + running;
			running = 0; held = 0; target = 0; applied = 0; seq = 0;
			fenced = false; borrowerHolder = logHolder;
			check()
	}
	od
}

/* The holder's side of the exchange with the borrower. */
active proctype lender() {
end:
	do
	:: atomic { /* a request arrives, possibly more than once */
		if
		:: requests?m_inc, m_holder, m_seq, m_applied, m_held -> borrow()
		:: requests?<m_inc, m_holder, m_seq, m_applied, m_held> -> borrow()
		:: requests?m_inc, m_holder, m_seq, m_applied, m_held /* lost */
		fi;
		check()
	}
	:: atomic { /* Bank.removeSilentBorrower: the borrower has fenced itself */
		registered && knownInc == inc && fenced ->
			lost = lost + granted; granted = 0; registered = false; EXPIRE;
			orphans = orphans + running; running = 0; held = 0
	}
	od
}

active proctype system() {
end:
	do
	:: atomic { orphans > 0 -> orphans-- }
	:: atomic { OUT < CEILING -> otherBorrowers++; check() }
	:: atomic { otherBorrowers > 0 -> otherBorrowers-- }
	:: atomic { /* the maximum request duration has passed: work of lost borrowers has ended */
		lost > 0 && orphans == 0 -> lost = 0
	}
	:: atomic { /* Timing.takeoverTimeout: former loans that no borrower has claimed have ended */
		unclaimed > 0 && orphans == 0 && (registered || ENDED) ->
			unclaimed = 0; EXPIRE
	}
	:: atomic { /* the log names a new holder; the old one has stopped */
		holder < MAXHOLD ->
			holder++; logHolder = holder; lost = 0; reducedBound = slice;
			granted = 0; lastSeq = 0; registered = false; claimed = false; minInc = 0; knownInc = 0;
			orphans = orphans + otherBorrowers; otherBorrowers = 0;
#ifdef NO_ADOPT
			unclaimed = 0
#else
			unclaimed = slice
#endif
	}
	:: atomic { /* the holder limits itself and reports it to the log */
		otherDataCentre < MAXGIVE && OUT < CEILING && len(reductions) < 1 ->
			reducedBound = CEILING - 1; reductions!holder, sliceInc, reducedBound
	}
	:: atomic { /* the log reduces the slice and increases the other data centre's in the same entry */
		reductions?m_holder, m_seq, m_held;
		if
#ifdef ANY_HOLDER
		:: m_seq == sliceInc ->
#else
		:: m_seq == sliceInc && m_holder == logHolder ->
#endif
			otherDataCentre = otherDataCentre + (slice - m_held); slice = m_held; sliceInc++
		:: else
		fi;
		check()
	}
	od
}
