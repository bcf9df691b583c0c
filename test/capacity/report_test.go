package capacity

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
)

// column is one measured quantity of a sample.
type column struct {
	name  string
	value func(sample) float64
}

var columns = []column{
	{"CPU %", func(s sample) float64 { return s.cpuPercent }},
	{"memory MB", func(s sample) float64 { return s.memoryMB }},
	{"frames out/s", func(s sample) float64 { return s.framesOut }},
	{"kB/s out", func(s sample) float64 { return s.outKB }},
	{"kB/s in", func(s sample) float64 { return s.inKB }},
	{"platform reads/s", func(s sample) float64 { return s.platformReads }},
	{"kB sent until settled", func(s sample) float64 { return s.startupKB }},
}

// printReport prints the samples and, if there are several, the fitted line of each column.
// Columns with only zero values are left out.
func printReport(title string, samples []sample) {
	fmt.Printf("\n## %s\n", title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprint(w, "size")
	for _, s := range samples {
		_, _ = fmt.Fprintf(w, "\t%g", s.size)
	}
	_, _ = fmt.Fprintln(w, "\tslope\tat 0")
	for _, c := range columns {
		if !slices.ContainsFunc(samples, func(s sample) bool { return c.value(s) != 0 }) {
			continue
		}
		_, _ = fmt.Fprint(w, c.name)
		for _, s := range samples {
			_, _ = fmt.Fprintf(w, "\t%.2f", c.value(s))
		}
		if len(samples) > 1 {
			slope, intercept := fitLine(samples, c.value)
			_, _ = fmt.Fprintf(w, "\t%.4f\t%.2f", slope, intercept)
		}
		_, _ = fmt.Fprintln(w)
	}
}

// fitLine returns the least-squares line of a quantity over the size.
func fitLine(samples []sample, value func(sample) float64) (slope, intercept float64) {
	n := float64(len(samples))
	var x, y, xx, xy float64
	for _, s := range samples {
		v := value(s)
		x, y = x+s.size, y+v
		xx, xy = xx+s.size*s.size, xy+s.size*v
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}
