package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Figures of the case keys.
const (
	revoke      = 5 * time.Second // revokeMs
	keyMachines = 6
	freezeTime  = 4 * time.Second
	cutTime     = 5500 * time.Millisecond
	cutAfter    = time.Second // of the freeze
	keptKey     = "irth5mgjy5rcpihhacru"
	takenKey    = "ddedev3nax7u27gxprym"
	// cutOnly is the value of TROUBLE that leaves out the freeze alone.
	cutOnly = "cut"
)

// playKeys takes a key away while the store is cut off from the machines, of which one stands
// still before and during the cut.
func playKeys(r *record, trouble bool) (broken int, err error) {
	s, err := newSite(r, keyBounds)
	if err != nil {
		return 0, err
	}
	defer s.close()
	l := &ledger{}
	for i := range 12 {
		if _, err := s.newBackend(l, "desk", i, 3, 20*time.Millisecond, ""); err != nil {
			return 0, err
		}
	}
	const row = `["claims","desk.example","/claims/","unsafe",1000,300,0,null,2,"desk"]`
	s.configureKeys(1, fmt.Sprintf("%q,%q", keptKey, takenKey), row)
	if err := s.addMachines(keyMachines); err != nil {
		return 0, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var takenAt time.Time // when the store had acknowledged that the key is taken away
	n, after, ran := 0, 0, 0
	// traffic sends 20 requests a second and machine, with each of the two keys by turns.
	traffic := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i, m := range s.nodes {
				n++
				id, key := fmt.Sprintf("k%06d", n), keptKey
				if (n/keyMachines+i)%2 == 0 {
					key = takenKey
				}
				wg.Go(func() {
					a := m.sendWithKey(http.MethodPost, "/claims/1", id, key, time.Second)
					reached := l.of(id)
					s.add("client: request %s with the key %s to %s: status %d, %v; reached %v", id, key, m.name, a.status, a.err, reached)
					mu.Lock()
					defer mu.Unlock()
					if key != takenKey || takenAt.IsZero() || a.sent.IsZero() || a.sent.Sub(takenAt) <= revoke {
						return
					}
					after++
					for _, x := range reached {
						if x.ran {
							ran++
							s.add("client: request %s, sent to %s %.3f s after the acknowledgement that its key is taken away, ran", id, m.name, a.sent.Sub(takenAt).Seconds())
						}
					}
				})
			}
		}
	}
	traffic(8 * time.Second)
	if trouble {
		if os.Getenv("TROUBLE") != cutOnly {
			m := s.nodes[keyMachines-1]
			s.add("%s: stands still", m.name)
			_ = m.cmd.Process.Signal(syscall.SIGSTOP) // it has not ended: it answers
			time.AfterFunc(freezeTime, func() {
				_ = m.cmd.Process.Signal(syscall.SIGCONT)
				s.add("%s: wakes", m.name)
			})
		}
		traffic(cutAfter)
		s.kv.SetFaults(standin.KVFaults{Silent: true})
		s.add("store: cut off from the machines")
		time.AfterFunc(cutTime, func() {
			s.kv.SetFaults(standin.KVFaults{})
			s.add("store: no longer cut off")
		})
	}
	s.configureKeys(2, fmt.Sprintf("%q", keptKey), row)
	mu.Lock()
	takenAt = time.Now()
	mu.Unlock()
	traffic(10 * time.Second)
	wg.Wait()
	s.add("of %d requests with the key sent later than %v after the acknowledgement that it is taken away, counted as run: %d", after, revoke, ran)
	return ran, nil
}
