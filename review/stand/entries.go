package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case entries.
const (
	configApply = 2 * time.Second // configApplyMs
	historyTime = 20 * time.Second
	// oddEntries entries of maxValue bytes each come at once.
	oddEntries = 8
	maxValue   = 1 << 20 // valueBytes
	callerTime = 5 * time.Second
)

// playEntries has another writer leave entries that can't be read, and then moves a route to
// another service.
func playEntries(r *record, trouble bool) (broken int, err error) {
	s, err := newSite(r, smallBounds)
	if err != nil {
		return 0, err
	}
	defer s.close()
	l := &ledger{}
	for i := range 12 {
		service := "desk"
		if i >= 6 {
			service = "desk2"
		}
		if _, err := s.newBackend(l, service, i, 3, 50*time.Millisecond, ""); err != nil {
			return 0, err
		}
	}
	const row = `["claims","desk.example","/claims/","unsafe",1000,300,0,null,2,%q]`
	s.configure(1, fmt.Sprintf(row, "desk"))
	if err := s.addMachines(3); err != nil {
		return 0, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var movedAt time.Time // when the store acknowledged that the route is moved
	after, byOld, failed := 0, 0, 0
	n := 0
	send := func(m *machine) {
		n++
		id := fmt.Sprintf("c%06d", n)
		mu.Lock()
		moved := movedAt
		mu.Unlock()
		wg.Go(func() {
			a := m.send(http.MethodPost, "/claims/1", id, callerTime)
			ran := l.of(id)
			mu.Lock()
			defer mu.Unlock()
			s.add("client: request %s to %s: status %d, %v; reached %v", id, m.name, a.status, a.err, ran)
			if a.status != http.StatusOK {
				failed++
			}
			if moved.IsZero() || a.sent.Sub(moved) <= configApply {
				return
			}
			after++
			for _, x := range ran {
				if x.ran && x.service == "desk" {
					byOld++
					s.add("client: request %s sent to %s %.3f s after the acknowledgement was run by the old service", id, m.name, a.sent.Sub(moved).Seconds())
				}
			}
		})
	}
	traffic := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, m := range s.nodes {
				send(m)
			}
		}
	}
	traffic(6 * time.Second)
	s.add("before the move %d requests were sent", n)
	oddAt := time.Now()
	if trouble {
		for i := range oddEntries {
			s.kv.Put(fmt.Sprintf("%sodd-%02d", entryPrefix, i), bytes.Repeat([]byte{0xff}, maxValue))
		}
		s.kv.SetPageSize(1) // a page holds 1 MB, and thus one of these
		s.add("another writer: %d entries of %d bytes that can't be read, within %v", oddEntries, maxValue, time.Since(oddAt))
	}
	traffic(500 * time.Millisecond)
	s.configure(2, fmt.Sprintf(row, "desk2"))
	mu.Lock()
	movedAt = time.Now()
	mu.Unlock()
	// The store keeps its history for as long as the settings say.
	time.AfterFunc(time.Until(oddAt.Add(historyTime)), func() {
		s.kv.CompactHistory()
		s.add("store: the history up to now is no longer available")
	})
	traffic(24 * time.Second)
	wg.Wait()
	s.add("of %d requests sent later than %v after the acknowledgement, the old service ran %d; %d requests of the run were not answered 200", after, configApply, byOld, failed)
	return byOld, nil
}
