package gateway

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/callerbuf"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	// reservedDescriptors are kept for targets, the store, other addresses and files.
	reservedDescriptors = 200
	// minCallers and mostCallers bound the default number of callers' connections.
	minCallers, mostCallers = 64, 1 << 20
	// callerMemory is the memory in bytes of the process for each connection of the default, so
	// that a high limit of descriptors does not allow more connections than fit into the memory.
	callerMemory = 16 << 10
	// maxCutLines is the number of log lines on callers that were cut off in a second.
	maxCutLines = 10
	// handledCopies is the number of copies of a request that is being handled: its own and the
	// encoded one for a target.
	handledCopies = 2
)

// reasonConnections is the reason for a caller that is cut off because there are too many.
const reasonConnections = "connections"

// cutReasons are the reasons for which callers are cut off.
var cutReasons = []string{
	callerbuf.Incomplete.String(), callerbuf.Pipelined.String(), callerbuf.Unsent.String(), reasonConnections,
}

// account is the bytes held for a connection, or for a request that is being handled.
type account = callerbuf.Account[*callerConn]

// callerBudget accounts for the bytes held for callers and cuts callers off.
type callerBudget struct {
	g *Gateway
	// mu guards budget: answers are written by the goroutines of requests.
	mu     sync.Mutex
	budget *callerbuf.Budget[*callerConn]
	// exceeded is true while more bytes are held than the budget allows.
	exceeded atomic.Bool
	// cutSecond is the second since the start in which cutLines log lines were written. They are
	// owned by the event loop.
	cutSecond int64
	cutLines  int
}

func newCallerBudget(g *Gateway) *callerBudget {
	return &callerBudget{g: g, budget: callerbuf.New[*callerConn](int64(g.opts.Settings.Callers.BufferBytes))}
}

// maxCallers returns the largest number of callers' connections.
func maxCallers(s *settings.Gateway) int {
	if s.Callers.MaxConnections > 0 {
		return s.Callers.MaxConnections
	}
	most := mostCallers
	if s.Memory > 0 {
		most = min(most, s.Memory<<20/callerMemory)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return most
	}
	return min(most, max(minCallers, int(limit.Cur)*3/4-reservedDescriptors))
}

func (b *callerBudget) open(cc *callerConn) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Open(cc, b.g.now())
}

func (b *callerBudget) close(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Close(a)
	b.exceeded.Store(b.budget.Exceeded())
}

func (b *callerBudget) set(a *account, p callerbuf.Part, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Set(a, p, n, b.g.now())
	b.exceeded.Store(b.budget.Exceeded())
}

// setUnsent accounts for the bytes of an answer that wait for the event loop or for the caller.
func (b *callerBudget) setUnsent(w *connWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Set(w.cc.account, callerbuf.Queued, w.pending.Load(), b.g.now())
	b.budget.Set(w.cc.account, callerbuf.Unsent, w.buffered.Load(), b.g.now())
	b.exceeded.Store(b.budget.Exceeded())
}

// refreshUnsent does the same with the number of bytes that are left now, and reports whether they
// have become fewer. It runs on the event loop.
func (b *callerBudget) refreshUnsent(cc *callerConn) bool {
	if cc.out == nil || cc.closed {
		return false
	}
	left := int64(cc.conn.OutboundBuffered())
	fewer := left < cc.out.buffered.Swap(left)
	b.setUnsent(cc.out)
	return fewer
}

// handled opens an account for a request that is about to be handled.
func (b *callerBudget) handled(cc *callerConn, bytes int64) *account {
	a := b.open(cc)
	b.set(a, callerbuf.Handled, handledCopies*bytes)
	return a
}

// relieve cuts callers off until the bytes held are within the budget, and reports whether they are.
// It runs on the event loop.
func (b *callerBudget) relieve() bool {
	for b.exceeded.Load() {
		victim, part, bytes := b.victim()
		if victim == nil {
			return bytes == 0
		}
		if part == callerbuf.Unsent && b.refreshUnsent(victim) {
			continue
		}
		b.recordCut(part.String(), bytes, victim.conn.RemoteAddr())
		victim.cutOff(part)
	}
	return true
}

// victim returns the connection to cut off, or nil, and the bytes of its largest part. Without a
// victim, bytes is not 0 if too many bytes are held.
func (b *callerBudget) victim() (cc *callerConn, part callerbuf.Part, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.Exceeded() {
		return nil, 0, 0
	}
	a, part := b.budget.Victim()
	if a == nil {
		return nil, 0, b.budget.Used()
	}
	return a.Owner, part, a.Held(part)
}

// recordCut counts a caller that is cut off, and writes at most maxCutLines log lines a second. It
// runs on the event loop.
func (b *callerBudget) recordCut(reason string, bytes int64, addr net.Addr) {
	b.g.count.callersCutOff[reason].Inc(1)
	if second := int64(b.g.now() / time.Second); second != b.cutSecond {
		b.cutSecond, b.cutLines = second, 0
	}
	if b.cutLines++; b.cutLines > maxCutLines {
		return
	}
	b.g.opts.Logger.Warn().Str("event", "caller-cut-off").Str("reason", reason).Int64("bytes", bytes).
		Str("peer", addr.String()).Msg("")
}

// report updates the gauge of the bytes held.
func (b *callerBudget) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.g.count.callerBytes.Update(float64(b.budget.Used()))
}
