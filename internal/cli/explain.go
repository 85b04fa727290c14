package cli

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"kingcupstand/internal/audit"
)

// explainCommand summarizes the logs of fronts.
type explainCommand struct {
	streams
	Args struct {
		Files []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	a := audit.New()
	for _, n := range c.Args.Files {
		f, err := os.Open(n)
		if err != nil {
			return fmt.Errorf("%w: %w", errInput, err)
		}
		err = a.Read(f)
		f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%w: %s: %w", errInput, n, err)
		}
	}
	s := a.Summary()
	if len(s.Routes) == 0 {
		return fmt.Errorf("%w: no requests of fronts in these logs", errInput)
	}
	return c.print(s)
}

// print writes the tables of a summary. Times are in milliseconds, slot times in seconds.
func (c *explainCommand) print(s audit.Summary) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\trequests\tanswered\tlate\trefused\tafter a wait\tmedian ms\tlongest tenth ms\tcut\tfailed\tslot s\tlost s")
	for _, r := range s.Routes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", r.Name, r.Requests, r.Answered, r.Late, r.Refused, r.AfterWait,
			r.Wait(0.5)/time.Millisecond, r.Wait(0.9)/time.Millisecond, r.Cut, r.Failed, (r.UsefulTime + r.LostTime).Seconds(), r.LostTime.Seconds())
	}
	fmt.Fprintln(w, "\nroute\treason\trequests")
	for _, r := range s.Reasons {
		fmt.Fprintf(w, "%s\t%s\t%d\n", r.Route, r.Text, r.Count)
	}
	fmt.Fprintln(w, "\nservice\tload lines\tall slots in use\tslots free, requests waiting")
	for _, l := range s.Loads {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", l.Service, l.Samples, l.Full, l.Idle)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if s.Omitted > 0 {
		fmt.Fprintf(c.log, "the fronts have left out %d log lines: requests may be missing\n", s.Omitted)
	}
	return nil
}
