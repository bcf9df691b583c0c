package claims

import "time"

// claimState is the state of one key according to the log.
type claimState struct {
	owner  Owner
	seq    uint64
	digest Digest
	// position is the log position of the claim record.
	position uint64
	status   recordKind
	answer   *Answer
	// local is the outcome that this process reported; it may not be durable yet.
	local *Outcome
}

// ownedBy reports whether the claim has the given owner and sequence number.
func (s *claimState) ownedBy(owner Owner, seq uint64) bool {
	return s.owner == owner && s.seq == seq
}

// released reports whether the key can be claimed again.
func (s *claimState) released() bool { return s.status == recordReleased }

// result returns the Result of a repeated claim of the key with the same digest.
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

// index is the state that results from applying a partition's log.
type index struct {
	claims map[KeyHash]*claimState
	// answers lists the claims with a kept answer, oldest first.
	answers     []*claimState
	answerBytes int
	maxBytes    int
}

func newIndex(maxBytes int) *index {
	return &index{claims: make(map[KeyHash]*claimState), maxBytes: maxBytes}
}

// apply applies the record at position. The first claim of a key wins until its owner
// releases the key; an outcome is ignored unless it belongs to that claim.
func (x *index) apply(r *record, position uint64) {
	s := x.claims[r.Key]
	switch {
	case r.Kind == recordClaim && (s == nil || s.released()):
		x.claims[r.Key] = &claimState{
			owner: r.Owner, seq: r.Seq, digest: r.Digest, position: position, status: recordClaim,
		}
	case r.Kind != recordClaim && s != nil && s.ownedBy(r.Owner, r.Seq) && s.status == recordClaim:
		s.status, s.local = r.Kind, nil
		x.keepAnswer(s, r.Answer)
	}
}

// keepAnswer stores answer in s and drops the oldest answers beyond the limit.
func (x *index) keepAnswer(s *claimState, answer *Answer) {
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

// remove deletes the claims of keys whose records are before position.
func (x *index) remove(keys []KeyHash, position uint64) {
	for _, k := range keys {
		if s := x.claims[k]; s != nil && s.position < position {
			delete(x.claims, k)
		}
	}
}

// segmentInfo describes a sealed segment, or all segments of a summary.
type segmentInfo struct {
	// first and last are the numbers of the first and the last segment.
	first, last uint64
	// end is the log position after the last record.
	end uint64
	// clock is the partition's clock at the last record, in milliseconds.
	clock uint64
	keys  []KeyHash
}

func newSegmentInfo(first, last, base uint64, records []record) segmentInfo {
	s := segmentInfo{first: first, last: last, end: base + uint64(len(records))}
	s.clock = records[len(records)-1].Clock
	for i := range records {
		if records[i].Kind == recordClaim {
			s.keys = append(s.keys, records[i].Key)
		}
	}
	return s
}

// expired reports whether all records of s are older than window at clock.
func (s *segmentInfo) expired(clock uint64, window time.Duration) bool {
	return s.clock+uint64(window.Milliseconds()) < clock
}
