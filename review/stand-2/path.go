package main

import (
	"fmt"
	"time"
)

// doubleSlash plays clients whose paths begin with two slashes, on a route for all paths.
func doubleSlash(c *Case) (int, error) {
	if err := c.AddServers("patterns", 6, 3, 50*time.Millisecond, nil, nil); err != nil {
		return failed, err
	}
	c.Configure(7, []Route{
		{Name: "r-all", Host: "fold.example", Prefix: "/", Kind: "idempotent", Timeout: 2000, Target: 400, Priority: 1, Service: "patterns", MaxAttempts: 2, Homes: []string{}},
	}, "patterns")
	if err := c.StartHosts(0, 1); err != nil {
		return failed, err
	}
	slash := "/"
	if c.Trouble {
		slash = "//"
	}
	sent := map[string]*Call{}
	for n := range 20 {
		call := &Call{Host: c.Fleet.Hosts[n%2].Front(), ID: NewID(), Method: "GET", Name: "fold.example", Target: fmt.Sprintf("%spatterns/crane-%d", slash, n), Deadline: 2 * time.Second}
		c.Send(call)
		sent[call.ID] = call
	}
	code, changed := held, 0
	for _, r := range c.Runs() {
		if call := sent[r.ID]; call == nil || call.Target != r.Target {
			changed++
			code = broken
			if changed == 1 {
				c.Say("sent %s with Host %s, run as %s with Host %s", call.Target, call.Name, r.Target, r.Host)
			}
		}
	}
	c.Say("%d of %d requests ran with another path", changed, len(sent))
	return code, nil
}
