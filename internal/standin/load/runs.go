package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

// recordTimeout bounds the reading of the runs that one plain service recorded.
const recordTimeout = 10 * time.Second

// readRuns returns how many times the plain services at addrs ran the request of each
// mark.
func readRuns(addrs []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, addr := range addrs {
		list, err := readRecordedRuns(addr)
		if err != nil {
			return nil, fmt.Errorf("read the runs recorded by %s: %w", addr, err)
		}
		for _, run := range list {
			runs[run.Mark]++
		}
	}
	return runs, nil
}

func readRecordedRuns(addr string) ([]plain.Run, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/runs", recordTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("expected status 200, got %d", status)
	}
	var list []plain.Run
	err = json.Unmarshal(body, &list)
	return list, err
}
