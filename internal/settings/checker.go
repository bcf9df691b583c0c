package settings

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// minLinkKeySize is the smallest size of a link key, in bytes.
const minLinkKeySize = 16

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// checker collects the problems of one settings file.
type checker struct {
	file     string
	fields   []strictyaml.Field
	problems []strictyaml.Problem
}

// add records a problem at a field, named by its path such as limits.connections.
func (c *checker) add(path, text, fix string) {
	c.problems = append(c.problems, strictyaml.Problem{File: c.file, Line: c.line(path), Text: path + " " + text, Fix: fix})
}

// line returns the line of the deepest part of path that is present in the file, or 0
// if no part is.
func (c *checker) line(path string) int {
	fields, deepest := c.fields, 0
	for _, part := range strings.Split(path, ".") {
		found := false
		for _, f := range fields {
			if f.Name == part {
				deepest, found = f.Line, true
				fields, _ = strictyaml.Fields(f.Node)
				break
			}
		}
		if !found {
			break
		}
	}
	return deepest
}

func (c *checker) name(path, v string) {
	if !namePattern.MatchString(v) {
		c.add(path, fmt.Sprintf("%q is not usable", v), "write 1 to 63 lower-case letters, digits and hyphens, beginning with a letter")
	}
}

// address checks an IP address with a port.
func (c *checker) address(path, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err == nil && portErr == nil && n > 0 && net.ParseIP(host) != nil {
		return
	}
	c.add(path, fmt.Sprintf("%q is not an address", v), "write an IP number and a port, for example 10.0.0.7:7100")
}

// dialAddress checks an IP address with a port that other processes dial; it must not be
// the unspecified address.
func (c *checker) dialAddress(path, v string) {
	before := len(c.problems)
	c.address(path, v)
	host, _, _ := net.SplitHostPort(v)
	if ip := net.ParseIP(host); len(c.problems) == before && ip.IsUnspecified() {
		c.add(path, fmt.Sprintf("%q cannot be dialled by others", v), "write the instance's own IP number")
	}
}

func (c *checker) dialAddresses(path string, list []string) {
	for _, v := range list {
		c.dialAddress(path, v)
	}
}

// checkRange checks that v is between low and high, both included.
func checkRange[V cmp.Ordered](c *checker, path string, v, low, high V) {
	inRange := low <= v && v <= high // false for NaN
	if !inRange {
		c.add(path, fmt.Sprintf("is %v, outside its range", v), fmt.Sprintf("write a value from %v to %v", low, high))
	}
}

// linkKey checks and returns the link key, which is either key or the content of file.
func (c *checker) linkKey(key, file string) string {
	switch {
	case key != "" && file != "":
		c.add("link_key_file", "is given together with link_key", "keep one of them")
	case file != "":
		content, err := os.ReadFile(file)
		if err != nil {
			c.add("link_key_file", "cannot be read", "name a readable file that contains the key")
			return ""
		}
		key = strings.TrimSpace(string(content))
	}
	if len(key) < minLinkKeySize {
		c.add("link_key", fmt.Sprintf("has %d bytes", len(key)), fmt.Sprintf("write link_key or link_key_file with %d bytes or more", minLinkKeySize))
	}
	return key
}
