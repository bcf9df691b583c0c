package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// anyMethod is the method of a route that matches every method.
const anyMethod = "*"

// routeMethods are the methods that a route may name.
var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", anyMethod}

func checkService(o *object[Service], pools map[string]*object[Pool]) []Problem {
	s := &o.value
	var problems []Problem
	if _, ok := pools[s.Pool]; !ok {
		problems = append(problems, o.problem("pool", fmt.Sprintf("service %s names pool %q, which does not exist", s.Name, s.Pool), "name a pool that is defined under pools"))
	}
	problems = append(problems, checkRange(o, "max_timeout", s.MaxTimeout, time.Millisecond, maxServiceTime)...)
	if len(problems) == 0 {
		problems = checkRange(o, "default_timeout", s.DefaultTimeout, time.Millisecond, s.MaxTimeout)
	}
	problems = append(problems, checkRange(o, "max_body", s.MaxBody, 1, MaxServiceBody)...)
	if len(s.Routes) == 0 {
		problems = append(problems, o.problem("routes", "service "+s.Name+" has no route", "write routes with method, path and, for idempotent requests, idempotent: true"))
	}
	for i := range s.Routes {
		problems = append(problems, checkRoute(o, i)...)
	}
	return problems
}

func checkRoute(o *object[Service], i int) []Problem {
	r := o.value.Routes[i]
	path := fmt.Sprintf("routes[%d]", i)
	problems := checkRange(o, path+".priority", r.Priority, -maxRoutePriority, maxRoutePriority)
	if !slices.Contains(routeMethods, r.Method) {
		problems = append(problems, o.problem(path+".method", fmt.Sprintf("method %q is unknown", r.Method), "write one of "+strings.Join(routeMethods, ", ")))
	}
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(strings.TrimSuffix(r.Path, "*"), "*") {
		problems = append(problems, o.problem(path+".path", fmt.Sprintf("path %q is not usable", r.Path), "begin with / and use * only as the last character"))
	}
	for j := range i {
		if covers(o.value.Routes[j], r) {
			text := fmt.Sprintf("the route is never reached; route %d serves all of its requests", j+1)
			problems = append(problems, o.problem(path, text, "move it before that route or remove it"))
			break
		}
	}
	return problems
}

// covers reports whether a matches every request that b matches.
func covers(a, b Route) bool {
	if a.Method != anyMethod && a.Method != b.Method {
		return false
	}
	prefix, wild := strings.CutSuffix(a.Path, "*")
	if wild {
		return strings.HasPrefix(strings.TrimSuffix(b.Path, "*"), prefix)
	}
	return a.Path == b.Path
}
