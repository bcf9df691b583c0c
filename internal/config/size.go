package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes, written with a unit: 512B, 64KiB, 1MiB, 2GiB.
type Size int64

// Byte units.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// sizeUnits lists the suffix B last, because the other suffixes end in it.
var sizeUnits = []struct {
	suffix string
	unit   Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// ParseSize parses a size with its unit.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		if err != nil || n < 0 {
			break
		}
		return Size(n) * u.unit, nil
	}
	return 0, fmt.Errorf("%q is not a size; write a number with B, KiB, MiB or GiB, for example 64MiB", s)
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.unit && s%u.unit == 0 {
			return strconv.FormatInt(int64(s/u.unit), 10) + u.suffix
		}
	}
	return "0B"
}

// UnmarshalYAML parses a size with its unit.
func (s *Size) UnmarshalYAML(text []byte) error {
	parsed, err := ParseSize(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// DescribeYAML returns a description of how a size is written.
func (Size) DescribeYAML() string { return "a size with its unit, for example 64KiB or 1MiB" }
