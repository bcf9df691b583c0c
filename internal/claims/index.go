package claims

import "time"

// claimState is what the log says about one key.
type claimState struct {
	owner  Owner
	seq    uint64
	digest Digest
	// position is the claim record's place in the log.
	position uint64
	status   recordKind
	answer   *Answer
	// local is the outcome that this process reported and that may not be durable yet.
	local *Outcome
}

// ownedBy reports whether the claim is the one of owner with seq.
func (s *claimState) ownedBy(owner Owner, seq uint64) bool {
	return s.owner == owner && s.seq == seq
}

// released reports whether the key can be claimed again.
func (s *claimState) released() bool { return s.status == recordReleased }

// result returns the status of a repeat of the claim.
func (s *claimState) result() Result {
	answer, ran := s.answer, s.status == recordRan
	if s.local != nil && s.local.Ran {
		answer, ran = s.local.Answer, true
	}
	switch {
	case ran && answer != nil:
		return Result{Status: Answered, Answer: answer}
	case ran:
		return Result{Status: AnswerNotKept}
	default:
		return Result{Status: InProgress}
	}
}

// index is the fold of a partition's log.
type index struct {
	claims map[KeyHash]*claimState
	// answers are the claims with a kept answer, oldest first.
	answers     []*claimState
	answerBytes int
	maxBytes    int
}

func newIndex(maxBytes int) *index {
	return &index{claims: make(map[KeyHash]*claimState), maxBytes: maxBytes}
}

// apply folds the record at position. The first claim of a key counts until its
// owner releases it; an outcome counts only for the claim that it names.
func (x *index) apply(r *record, position uint64) {
	s := x.claims[r.Key]
	switch {
	case r.Kind == recordClaim && (s == nil || s.released()):
		x.claims[r.Key] = &claimState{
			owner: r.Owner, seq: r.Seq, digest: r.Digest, position: position, status: recordClaim,
		}
	case r.Kind != recordClaim && s != nil && s.ownedBy(r.Owner, r.Seq) && s.status == recordClaim:
		s.status, s.local = r.Kind, nil
		x.keep(s, r.Answer)
	}
}

// keep holds answer for s and drops the oldest answers beyond the limit.
func (x *index) keep(s *claimState, answer *Answer) {
	if answer == nil {
		return
	}
	s.answer = answer
	x.answers = append(x.answers, s)
	x.answerBytes += answer.size()
	for x.answerBytes > x.maxBytes {
		x.answerBytes -= x.answers[0].answer.size()
		x.answers[0].answer = nil
		x.answers[0] = nil
		x.answers = x.answers[1:]
	}
}

// forget drops the claims of keys that lie before position.
func (x *index) forget(keys []KeyHash, position uint64) {
	for _, k := range keys {
		if s := x.claims[k]; s != nil && s.position < position {
			delete(x.claims, k)
		}
	}
}

// sealed is what a partition keeps of a segment, or of a summary's segments.
type sealed struct {
	// first and number are the first and the last segment's number.
	first, number uint64
	// end is the log position after the segment.
	end uint64
	// clock is the partition's clock at the last record, in milliseconds.
	clock uint64
	keys  []KeyHash
}

func newSealed(first, number, base uint64, records []record) sealed {
	s := sealed{first: first, number: number, end: base + uint64(len(records))}
	s.clock = records[len(records)-1].Clock
	for i := range records {
		if records[i].Kind == recordClaim {
			s.keys = append(s.keys, records[i].Key)
		}
	}
	return s
}

// expired reports whether all records of s are older than window at clock.
func (s *sealed) expired(clock uint64, window time.Duration) bool {
	return s.clock+uint64(window.Milliseconds()) < clock
}
