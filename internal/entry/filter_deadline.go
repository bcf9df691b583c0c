package entry

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// headerTimeout carries the time in which the caller needs its complete answer, for example
// 1500ms.
const headerTimeout = "Gentiantrail-Timeout"

// setDeadline sets the deadline from the caller's timeout, bounded by the service's
// maximum, or from the service's default.
func setDeadline(_ *Entry, x *exchange) *apierr.Error {
	timeout := x.service.DefaultTimeout
	if text := string(x.header.Peek(headerTimeout)); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return apierr.New(apierr.KindBadDeadline, "write a duration such as 1500ms or 30s")
		}
		timeout = min(requested, x.service.MaxTimeout)
	}
	x.deadline = x.arrived.Add(timeout)
	return nil
}
