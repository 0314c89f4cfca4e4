package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case stop.
const (
	grace         = 6 * time.Second        // graceS
	lossSlack     = 200 * time.Millisecond // lossSlackMs
	stopMachines  = 5
	stopBackends  = 6
	stopWork      = 190 * time.Millisecond
	stopLimit     = "4" // requests a second of each backend, 24 of all
	quoteDeadline = 6 * time.Second
	orderDeadline = 8 * time.Second // also timeoutMs of the route
	// lookupLife is how long clients keep an answer of the directory.
	lookupLife = 2 * time.Second
	// Between rounds of requests, of one quote each.
	quiet = 100 * time.Millisecond
	busy  = 50 * time.Millisecond
)

// The routes: quotes are more urgent than orders.
const (
	quoteRow = `["quotes","desk.example","/quotes/","safe",3000,500,0,null,2,"desk"]`
	orderRow = `["orders","desk.example","/orders/","unsafe",8000,1500,2,null,2,"desk"]`
)

// stopCase is the state of the case stop.
type stopCase struct {
	*site
	ledger *ledger
	target *machine
	wg     sync.WaitGroup

	mu        sync.Mutex
	stoppedAt time.Time
	sent      int
	lost      int
}

// playStop stops one of five machines with SIGTERM, while the backends name a limit that is
// below what clients send, and requests wait at the machine.
func playStop(r *record, trouble bool) (broken int, err error) {
	s, err := newSite(r, smallBounds)
	if err != nil {
		return 0, err
	}
	defer s.close()
	c := &stopCase{site: s, ledger: &ledger{}}
	for i := range stopBackends {
		if _, err := s.newBackend(c.ledger, "desk", i, 3, stopWork, stopLimit); err != nil {
			return 0, err
		}
	}
	s.configure(1, quoteRow, orderRow)
	if err := s.addMachines(stopMachines); err != nil {
		return 0, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return 0, err
	}
	c.target = s.nodes[stopMachines-1]
	c.traffic(6*time.Second, s.nodes, quiet, 1)
	c.traffic(6*time.Second, s.nodes, busy, 4)
	c.mu.Lock()
	c.stoppedAt = time.Now()
	c.mu.Unlock()
	if trouble {
		s.add("%s: SIGTERM", c.target.name)
		_ = c.target.cmd.Process.Signal(syscall.SIGTERM) // it has not ended: it answers
		time.AfterFunc(grace, func() {
			s.add("%s: SIGKILL", c.target.name)
			_ = c.target.cmd.Process.Kill() // it may have ended
		})
	}
	c.traffic(lookupLife, s.nodes, busy, 4)
	c.traffic(6*time.Second, s.nodes[:stopMachines-1], busy, 4)
	c.wg.Wait()
	s.add("of %d requests, %d ended without an answer, before their deadline and with no backend at work on them", c.sent, c.lost)
	return c.lost, nil
}

// traffic sends a quote and a number of orders in each round, to the machines that the
// directory names.
func (c *stopCase) traffic(d time.Duration, nodes []*machine, round time.Duration, orders int) {
	i := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(round) {
		c.client("/quotes/1", http.MethodGet, quoteDeadline, nodes[i%len(nodes)])
		for k := range orders {
			// Of the machines that clients draw, the second is the one to be stopped as long
			// as it is named, so that many retries meet it.
			second := nodes[len(nodes)-1]
			c.client("/orders/1", http.MethodPost, orderDeadline, nodes[(i+k)%(len(nodes)-1)], second)
		}
		i++
	}
}

// client sends a request to the first machine and, as long as it is refused, to the next one,
// with the time that is left.
func (c *stopCase) client(path, method string, deadline time.Duration, machines ...*machine) {
	c.mu.Lock()
	c.sent++
	number := c.sent
	c.mu.Unlock()
	began := time.Now()
	c.wg.Go(func() {
		for try, m := range machines {
			id := fmt.Sprintf("r%06d-%d", number, try)
			left := deadline - time.Since(began)
			a := m.send(method, path, id, left)
			c.judge(id, path, m, left, a)
			if a.status != http.StatusServiceUnavailable {
				return
			}
			time.Sleep(min(a.retryAfter, (deadline-time.Since(began))/3))
		}
	})
}

// judge records an answer, and whether the request counts as lost: the machine accepted the
// connection and the request, and ended the connection without an answer, later than
// lossSlackMs after the request was sent and before its deadline, and no backend ran it.
func (c *stopCase) judge(id, path string, m *machine, left time.Duration, a answer) {
	reached := c.ledger.of(id)
	if a.sent.IsZero() {
		c.add("client: request %s of %s not sent to %s: %v", id, path, m.name, a.err)
		return
	}
	took := a.ended.Sub(a.sent)
	c.add("client: request %s of %s, with %.3f s left, sent to %s: status %d after %.3f s, %v; reached %v", id, path, left.Seconds(), m.name, a.status, took.Seconds(), a.err, reached)
	if a.status != 0 || took <= lossSlack || took >= left-lossSlack || len(reached) > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost++
	c.add("client: request %s was lost: sent to %s %.3f s after the stop, its connection ended %.3f s after the stop",
		id, m.name, a.sent.Sub(c.stoppedAt).Seconds(), a.ended.Sub(c.stoppedAt).Seconds())
}
