package gateway

import (
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/pick"
	"github.com/catkinrouter/catkinrouter/route"
)

// workQuantile is the part of requests that take no longer than the work that
// is expected; stragglers hardly move it.
const workQuantile = 0.5

// targetShare of a route's target is taken as its work until it was measured.
const targetShare = 3

// works follows the work of each route's requests, and how services behave
// when nearly full. It is safe for concurrent use.
type works struct {
	mu       sync.Mutex
	rows     map[string]*attempt.Quantile
	first    map[string]time.Duration
	fullness map[string]*pick.Fullness
	pace     map[string]pick.Paces
}

func newWorks() *works {
	return &works{
		rows: map[string]*attempt.Quantile{}, first: map[string]time.Duration{}, fullness: map[string]*pick.Fullness{},
		pace: map[string]pick.Paces{},
	}
}

// paces returns the paces of a service's upstreams.
func (w *works) paces(service string) pick.Paces {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pace[service]
}

func (w *works) addPace(service string, pace float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pace[service]
	p.Add(pace)
	w.pace[service] = p
}

// full returns the fullness of a service.
func (w *works) full(service string) pick.Fullness {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.fullness[service]; f != nil {
		return *f
	}
	return pick.Fullness{}
}

// changeFull changes the fullness of a service.
func (w *works) changeFull(service string, change func(*pick.Fullness)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fullness[service]
	if f == nil {
		f = new(pick.Fullness)
		w.fullness[service] = f
	}
	change(f)
}

// begin sets what is taken for a route that was not measured yet.
func (w *works) begin(r *route.Route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rows[r.Name] == nil {
		w.rows[r.Name] = &attempt.Quantile{}
		w.first[r.Name] = pick.DefaultWork
		if r.Target > 0 {
			w.first[r.Name] = r.Target / targetShare
		}
	}
}

func (w *works) add(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.rows[name]; q != nil {
		q.Add(d, workQuantile)
	}
}

func (w *works) of(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.rows[name]; q != nil {
		if d, ok := q.Value(); ok {
			return d
		}
		return w.first[name]
	}
	return pick.DefaultWork
}
