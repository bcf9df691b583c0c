package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

// judgeTimeout bounds reading one plain service's record.
const judgeTimeout = 10 * time.Second

// readRuns returns how often the plain services at addrs ran each mark.
func readRuns(addrs []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, addr := range addrs {
		list, err := readRecord(addr)
		if err != nil {
			return nil, fmt.Errorf("judge %s: %w", addr, err)
		}
		for _, run := range list {
			runs[run.Mark]++
		}
	}
	return runs, nil
}

func readRecord(addr string) ([]plain.Run, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/runs", judgeTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", status)
	}
	var list []plain.Run
	err = json.Unmarshal(body, &list)
	return list, err
}
