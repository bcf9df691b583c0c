package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

// judgeTimeout bounds reading one judge's record.
const judgeTimeout = 10 * time.Second

// judge compares the judges' records with what callers were told.
func (r *runner) judge() error {
	runs := make(map[string]int)
	for _, addr := range r.plan.Judges {
		if err := readRuns(addr, runs); err != nil {
			return err
		}
	}
	if len(r.plan.Judges) > 0 {
		r.report.compare(runs)
	}
	r.report.finish()
	return nil
}

func readRuns(addr string, runs map[string]int) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/runs", judgeTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("judge %s: status %d: %w", addr, status, err)
	}
	var list []plain.Run
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("judge %s: %w", addr, err)
	}
	for _, run := range list {
		runs[run.Mark]++
	}
	return nil
}

// compare counts the contradictions between records and answers.
func (r *Report) compare(runs map[string]int) {
	for mark, told := range r.told {
		n := runs[mark]
		if n > 1 {
			r.Doubled++
		}
		if n == 0 && (told == complete || told == failed) {
			r.Lost++
		}
		if n > 0 && told == notRun {
			r.RanAnyway++
		}
	}
}
