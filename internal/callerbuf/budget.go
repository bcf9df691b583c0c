// Package callerbuf accounts for the memory that a process holds for its callers, and decides
// which caller to cut off when it is too much. It has no I/O and no clock.
package callerbuf

import "time"

// Part is what bytes are held for.
type Part uint8

// The parts.
const (
	// Incomplete is a request that has not arrived completely.
	Incomplete Part = iota
	// Pipelined are bytes behind the request that is being handled.
	Pipelined
	// Unsent are bytes of answers that have been offered to the caller and that it has not accepted.
	Unsent
	// Handled is a request that is being handled. It does not make its caller a victim.
	Handled
	// Queued are bytes of answers that have not been offered to the caller. They do not make it a
	// victim either, since it may read promptly.
	Queued
	partCount
)

// String returns the name of the part in logs and metrics.
func (p Part) String() string {
	return [partCount]string{"incomplete", "pipelined", "unsent", "handled", "queued"}[p]
}

// sizeClass is the ratio below which two callers count as holding the same number of bytes, so that
// the progress decides between them.
const sizeClass = 2

// Account is the bytes held for one owner.
type Account[O comparable] struct {
	Owner O
	held  [partCount]int64
	// progress is the time of the last change that is progress of the caller.
	progress time.Duration
}

// Held returns the number of bytes held for the part.
func (a *Account[O]) Held(p Part) int64 { return a.held[p] }

// removable returns the bytes that a cut frees, and the part with most of them.
func (a *Account[O]) removable() (int64, Part) {
	total, largest := int64(0), Incomplete
	for p := range Handled {
		total += a.held[p]
		if a.held[p] > a.held[largest] {
			largest = p
		}
	}
	return total, largest
}

// Budget is the bytes held for all callers. It is not safe for concurrent use.
type Budget[O comparable] struct {
	limit, used int64
	accounts    map[*Account[O]]struct{}
}

// New returns a budget of limit bytes; zero means no limit.
func New[O comparable](limit int64) *Budget[O] {
	return &Budget[O]{limit: limit, accounts: make(map[*Account[O]]struct{})}
}

// Open adds an account without bytes. Now is the time on any clock that all calls use.
func (b *Budget[O]) Open(owner O, now time.Duration) *Account[O] {
	a := &Account[O]{Owner: owner, progress: now}
	b.accounts[a] = struct{}{}
	return a
}

// Close removes an account with its bytes. Closing it again has no effect.
func (b *Budget[O]) Close(a *Account[O]) {
	for _, n := range a.held {
		b.used -= n
	}
	a.held = [partCount]int64{}
	delete(b.accounts, a)
}

// Set states the number of bytes held for a part of an account. A change for a part of the request
// is progress of the caller, and so is a decrease of unsent bytes; queued bytes depend on the process
// alone. Closed accounts hold nothing.
func (b *Budget[O]) Set(a *Account[O], p Part, n int64, now time.Duration) {
	if _, open := b.accounts[a]; !open || n == a.held[p] {
		return
	}
	if p != Queued && (p != Unsent || n < a.held[p]) {
		a.progress = now
	}
	b.used += n - a.held[p]
	a.held[p] = n
}

// Used returns the number of bytes held for all callers.
func (b *Budget[O]) Used() int64 { return b.used }

// Exceeded reports whether more bytes are held than the budget allows.
func (b *Budget[O]) Exceeded() bool { return b.limit > 0 && b.used > b.limit }

// Victim returns the account to cut off and the part that takes most of it, or nil if no cut frees
// bytes, or if the bytes that no cut frees exceed the budget by themselves. It is the account with
// the most removable bytes; of those with about as many, it is the one whose last progress is the
// longest ago.
func (b *Budget[O]) Victim() (*Account[O], Part) {
	var most, sum int64
	for a := range b.accounts {
		n, _ := a.removable()
		most = max(most, n)
		sum += n
	}
	if most == 0 || b.used-sum > b.limit {
		return nil, Incomplete
	}
	var victim *Account[O]
	var part Part
	for a := range b.accounts {
		if n, p := a.removable(); n*sizeClass >= most && (victim == nil || a.progress < victim.progress) {
			victim, part = a, p
		}
	}
	return victim, part
}
