package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case reload.
const (
	budgetRatio  = 0.2              // retryBudgetRatio
	budgetSlack  = 62               // retryBudgetSlack, before the change
	budgetWindow = 10 * time.Second // budgetWindowS
	slackBefore  = "retryBudgetSlack: 62"
	slackAfter   = "retryBudgetSlack: 61"

	reloadMachines = 5                       // of which 3 get SIGHUP, and then the other 2
	reloadGap      = 500 * time.Millisecond  // between two
	shedShare      = 550                     // thousandths
	shedTime       = 8500 * time.Millisecond // of which
	beforeReload   = 3500 * time.Millisecond // until the first SIGHUP
)

// playReload changes the settings of some machines while the backends of a service reject many
// requests.
func playReload(r *record, trouble bool) (broken int, err error) {
	s, err := newSite(r, smallBounds)
	if err != nil {
		return 0, err
	}
	defer s.close()
	l := &ledger{}
	var backends []*backend
	for i := range 12 {
		b, err := s.newBackend(l, "desk", i, 3, 50*time.Millisecond, "")
		if err != nil {
			return 0, err
		}
		backends = append(backends, b)
	}
	s.configure(1, `["reads","desk.example","/reads/","safe",1000,300,0,null,3,"desk"]`)
	if err := s.addMachines(reloadMachines); err != nil {
		return 0, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var sent []time.Time
	traffic := func(d time.Duration) { // 50 requests a second
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, m := range s.nodes {
				sent = append(sent, time.Now())
				id := fmt.Sprintf("c%06d", len(sent))
				wg.Go(func() {
					a := m.send(http.MethodGet, "/reads/1", id, time.Second)
					s.add("client: request %s to %s: status %d, %v; reached %v", id, m.name, a.status, a.err, l.of(id))
				})
			}
		}
	}
	setShed := func(share uint64) {
		for _, b := range backends {
			b.shed.Store(share)
		}
		s.add("backends: reject %d of 1000 requests", share)
	}
	traffic(14 * time.Second)
	setShed(shedShare)
	time.AfterFunc(shedTime, func() { setShed(0) })
	if trouble {
		for i, m := range s.nodes {
			time.AfterFunc(beforeReload+time.Duration(i)*reloadGap, func() { s.reload(m) })
		}
	}
	traffic(shedTime + 2*time.Second)
	wg.Wait()
	return s.judgeBudget(sent, l.repeats()), nil
}

// reload changes a bound in the machine's settings file and sends SIGHUP.
func (s *site) reload(m *machine) {
	text, err := os.ReadFile(m.settingsFile)
	if err == nil {
		err = os.WriteFile(m.settingsFile, []byte(strings.Replace(string(text), slackBefore, slackAfter, 1)), 0o600)
	}
	s.add("%s: settings changed (%s, was %s), %v; SIGHUP", m.name, slackAfter, slackBefore, err)
	_ = m.cmd.Process.Signal(syscall.SIGHUP) // it has not ended: it answers
}

// repeats returns when arrivals beyond the first of their request came, in order.
func (l *ledger) repeats() (at []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	for _, a := range l.arrivals {
		if seen[a.id] {
			at = append(at, a.at)
		}
		seen[a.id] = true
	}
	return at
}

// judgeBudget returns 1 if there is a window with more repeats than the budget allows, by the
// larger slack, and records the worst one.
func (s *site) judgeBudget(sent, repeats []time.Time) (broken int) {
	count := func(list []time.Time, from time.Time) (n int) {
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	most, line := 0.0, "no repeats counted"
	for i, from := range repeats {
		n := count(repeats, from)
		requests := max(count(sent, from), count(sent, from.Add(-budgetWindow/2)), count(sent, from.Add(-budgetWindow)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if over := float64(n) - allowed; i == 0 || over > most {
			most, line = over, fmt.Sprintf("in the worst window %d repeats counted for %d requests, allowed %.0f", n, requests, allowed)
		}
	}
	s.add("%s", line)
	if most > 0 {
		return 1
	}
	return 0
}
