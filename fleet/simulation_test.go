package fleet

import (
	"context"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/internal/simclock"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/store"
)

// Costs of the simulation: processor time on a whole core, latency, and sizes in
// bytes.
const (
	receiveCost   = 20 * time.Microsecond
	sendCost      = 10 * time.Microsecond
	tickCost      = 60 * time.Microsecond
	syncCost      = 150 * time.Microsecond
	itemCost      = 3 * time.Microsecond
	linkLatency   = 500 * time.Microsecond
	storeLatency  = 4 * time.Millisecond
	datagramBytes = 80
	syncBytes     = 400
	itemBytes     = 250
	memberBytes   = 120
	packedRatio   = 6 // an item's size by its size in a packed copy
	pageItems     = 50
	stalePrice    = 0.1
)

// simulation runs the fleets of many instances in simulated time, over links and
// processors of limited capacity. It is a function of its seed.
type simulation struct {
	simclock.Clock
	rng       *rand.Rand
	instances []*simInstance
	byAddress map[string]*simInstance

	items    []mirror.Item
	revision store.Revision
	watches  []func()
	calls    float64 // store calls at their price
	storeOut bool
	// answeredAt is when the store last answered a read.
	answeredAt time.Duration
	// maxProvenAge and watchWait are those of the instances' Options.
	maxProvenAge, watchWait time.Duration
	// trace is a digest of all that was sent.
	trace hash.Hash64
}

// simInstance is one instance with a share of a core and a link.
type simInstance struct {
	s     *simulation
	info  Info
	seeds []string
	cores float64
	mbps  float64

	f       *Fleet
	started time.Duration
	// run counts the starts and stops: what belongs to an earlier run is dropped.
	run       int
	up        bool
	frozen    time.Duration // end of a freeze
	cpuFree   time.Duration
	linkFree  time.Duration
	cpuUsed   time.Duration
	bytesSent int
	syncs     [len(syncQueues{})]int // in flight, by their queue
	// crashReports counts the received crash reports by their requests.
	crashReports map[[16]byte]int
	reading      bool
	timers       int // the newest read timer

	view View
}

// newSimulation creates instances in five data centres, three large ones in each.
func newSimulation(count int, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, uint64(count))), byAddress: map[string]*simInstance{}, revision: 1, trace: fnv.New64()}
	for i := range count {
		dc := i % 5
		in := &simInstance{s: s, cores: 0.16, mbps: 20}
		if i/5 < 3 {
			in.cores, in.mbps = 0.8, 200
		}
		// The large instances do not have the lowest addresses.
		host := (i/5+50)%200 + 1
		in.info = Info{
			Address: fmt.Sprintf("10.%d.0.%d:7000", dc+1, host), DataAddress: fmt.Sprintf("10.%d.0.%d:80", dc+1, host),
			DataCentre: fmt.Sprintf("dc-%d", dc), Capacity: uint32(1000 * in.cores),
		}
		s.instances = append(s.instances, in)
		s.byAddress[in.info.Address] = in
	}
	seeds := []string{s.instances[count-1].info.Address, s.instances[count-2].info.Address, s.instances[count-3].info.Address}
	for _, in := range s.instances {
		in.seeds = seeds
	}
	return s
}

func (in *simInstance) start(first bool) {
	in.run++
	in.up, in.started, in.syncs, in.reading = true, in.s.Now, [len(syncQueues{})]int{}, false
	in.cpuFree = in.s.Now
	in.info.Incarnation++
	in.view = View{}
	in.crashReports = map[[16]byte]int{}
	in.f = New(Options{
		Self: in.info, Seeds: in.seeds, FirstStart: first, DirectoryKey: "directory", MaxCopyAge: 2400 * time.Millisecond, MaxProvenAge: in.s.maxProvenAge, WatchWait: in.s.watchWait,
		Now: func() time.Duration { return in.s.Now - in.started }, Log: log.NewNopLogger(),
		Jitter: in.s.rng.Float64, OnStoreCall: func(string) {},
	}, simSource{in.s}, simListener{in})
	in.f.send = in.sendDatagram
	in.tick(in.run)
	in.read()
}

func (in *simInstance) stop() {
	in.run++
	in.up = false
}

// exec runs do on the instance's processor once it is free, unless the instance
// has stopped by then.
func (in *simInstance) exec(run int, cost time.Duration, do func()) {
	if !in.up || in.run != run {
		return
	}
	cost = time.Duration(float64(cost) / in.cores)
	in.cpuUsed += cost
	in.cpuFree = max(in.cpuFree, in.s.Now, in.frozen) + cost
	in.s.At(in.cpuFree, func() {
		if in.up && in.run == run {
			do()
			in.startWork()
		}
	})
}

// transmit sends bytes over the instance's link and calls arrive at the end.
func (in *simInstance) transmit(bytes int, arrive func()) {
	in.bytesSent += bytes
	fmt.Fprintln(in.s.trace, in.s.Now, in.info.Address, bytes)
	in.linkFree = max(in.linkFree, in.s.Now) + time.Duration(float64(bytes*8)/in.mbps)*time.Microsecond
	in.s.At(in.linkFree+linkLatency, arrive)
}

func (in *simInstance) sendDatagram(to string, p []byte) {
	in.cpuFree = max(in.cpuFree, in.s.Now) + time.Duration(float64(sendCost)/in.cores)
	in.cpuUsed += time.Duration(float64(sendCost) / in.cores)
	target := in.s.byAddress[to]
	in.transmit(datagramBytes, func() {
		if target != nil {
			target.exec(target.run, receiveCost, func() { target.f.handleDatagram(in.info.Address, p) })
		}
	})
}

func (in *simInstance) tick(run int) {
	in.exec(run, tickCost, func() {
		next := in.f.tick()
		in.s.At(in.s.Now+next, func() { in.tick(run) })
	})
}

// startWork begins the syncs and reads that the last event made due.
func (in *simInstance) startWork() {
	for i := range in.f.syncs {
		in.startSyncs(i)
	}
	select {
	case <-in.f.wake:
		in.read()
	default:
	}
	select {
	case <-in.f.tickNow:
		in.exec(in.run, tickCost, func() { in.f.tick() })
	default:
	}
}

// startSyncs begins the syncs of a queue while workers are free.
func (in *simInstance) startSyncs(queue int) {
	for in.syncs[queue] < syncWorkers {
		select {
		case from := <-in.f.syncs[queue]:
			in.sync(queue, from)
		default:
			return
		}
	}
}

var errSimulated = errors.New("simulated failure")

// sync performs one sync of a queue with a peer.
func (in *simInstance) sync(queue int, from string) {
	run, began, args := in.run, in.f.opt.Now(), in.f.syncArgs(from)
	in.syncs[queue]++
	ended := false
	end := func(cost time.Duration, reply *SyncReply, err error) {
		if ended || in.run != run {
			return
		}
		ended = true
		in.exec(run, cost, func() {
			in.syncs[queue]--
			in.f.handleSyncReply(from, &args, began, reply, err)
		})
	}
	in.s.At(in.s.Now+stallTimeout, func() { end(0, nil, errStalled) })
	peer := in.s.byAddress[from]
	if peer == nil || !peer.up {
		in.s.At(in.s.Now+linkLatency, func() { end(0, nil, errSimulated) })
		return
	}
	in.transmit(syncBytes, func() {
		peer.exec(peer.run, syncCost, func() {
			var reply SyncReply
			if err := (&Peer{peer.f}).Sync(&args, &reply); err != nil {
				panic(err)
			}
			items := len(reply.Delta.Items)
			if d, err := reply.delta(); err == nil {
				items = max(items, len(d.Items))
			}
			bytes := syncBytes + items*itemBytes + len(reply.Members)*memberBytes
			if len(reply.Packed) > 0 {
				bytes = syncBytes + items*itemBytes/packedRatio + len(reply.Members)*memberBytes
			}
			peer.transmit(bytes, func() { end(syncCost+time.Duration(items)*itemCost, &reply, nil) })
		})
	})
}

// read makes the store call that is due, or sets a timer for it.
func (in *simInstance) read() {
	if in.reading || !in.up {
		return
	}
	run, c := in.run, in.f.nextRead()
	if c.kind == callNone {
		in.timers++
		timer := in.timers
		in.s.At(in.s.Now+c.wait, func() {
			if in.run == run && in.timers == timer {
				in.read()
			}
		})
		return
	}
	in.reading = true
	done := func(d mirror.Delta, err error) {
		in.exec(run, time.Duration(len(d.Items))*itemCost, func() {
			in.reading = false
			in.f.handleReadResult(c, d, err)
			in.f.writeDirectory(context.Background())
			in.read()
		})
	}
	pages := len(in.s.items)/pageItems + 1
	after := func(latency time.Duration, do func()) { in.s.At(in.s.Now+latency, do) }
	if in.s.storeOut {
		in.s.calls++
		after(storeLatency, func() { done(mirror.Delta{}, &store.Error{Kind: store.Unavailable}) })
		return
	}
	switch c.kind {
	case callDirectory:
		in.s.calls += stalePrice
		after(storeLatency, func() {
			value, err := in.s.directory()
			in.exec(run, itemCost, func() {
				in.reading = false
				in.f.handleDirectory(value, err)
				in.read()
			})
		})
	case callReadFirst:
		in.s.calls += stalePrice*float64(pages) + 1
		after(time.Duration(pages+1)*storeLatency, func() { done(in.s.full(), nil) })
	case callReadAll:
		in.s.calls += float64(pages)
		after(time.Duration(pages)*storeLatency, func() { done(in.s.full(), nil) })
	case callWatch:
		in.s.calls++
		in.s.watch(c, done)
	}
}

// startAll starts all instances within 0.3 s and lets upstreams register.
func (s *simulation) startAll(upstreams int) {
	for _, in := range s.instances {
		s.At(s.Now+time.Duration(s.rng.Float64()*float64(300*time.Millisecond)), func() {
			in.start(true)
			in.f.SetState(true, false)
		})
	}
	for i := range upstreams {
		s.At(s.Now+time.Duration(i)*2*time.Second/time.Duration(upstreams), func() { s.put(fmt.Sprint("upstream-", i), "ready") })
	}
	s.RunUntil(8 * time.Second)
}

// running returns the instances that are up and not frozen.
func (s *simulation) running() (out []*simInstance) {
	for _, in := range s.instances {
		if in.up && in.frozen <= s.Now {
			out = append(out, in)
		}
	}
	return out
}

// lagging returns the number of running instances whose copy is older than a
// revision.
func (s *simulation) lagging(revision store.Revision) (n int) {
	for _, in := range s.running() {
		if in.f.copy.Revision() < revision {
			n++
		}
	}
	return n
}

// waitFor runs until all running instances hold the revision, and returns the
// time that it took, at most limit.
func (s *simulation) waitFor(revision store.Revision, limit time.Duration) time.Duration {
	began := s.Now
	for s.lagging(revision) > 0 && s.Now-began < limit {
		s.RunUntil(s.Now + 20*time.Millisecond)
	}
	return s.Now - began
}

// totals returns the failed syncs and role changes of all running instances.
func (s *simulation) totals() (failed, roleChanges int64) {
	for _, in := range s.running() {
		st := in.f.Status()
		failed, roleChanges = failed+st.SyncsFailed, roleChanges+st.RoleChanges
	}
	return failed, roleChanges
}
