package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash of an upstream while it ran a request.
type Crash struct {
	Content Content
	// Upstream identifies the incarnation of the upstream.
	Upstream uint64
	// Began is when the request was sent, At when the upstream crashed.
	Began, At time.Duration
}

// proof is what shows that a request crashes upstreams: either is enough.
type proof struct {
	// rounds is the number of crashes, each of a run that began after the one before
	// and roundGap later. Runs that crash side by side show less: whatever else ends
	// many upstreams at once ends all of them.
	rounds int
	// moments is the number of moments, momentGap apart, at which upstreams crashed,
	// crashes that of the crashes. A request that comes often enough ends all
	// upstreams before a second round begins.
	moments, crashes int
}

var (
	// usualProof suffices if the request ran at most of the upstreams that crashed.
	usualProof = proof{rounds: 3, moments: 3, crashes: 4}
	// strongProof is asked for if half as many upstreams crashed without the request.
	strongProof = proof{rounds: 5, moments: 5, crashes: 6}
)

const (
	roundGap  = 50 * time.Millisecond
	momentGap = 10 * time.Millisecond
	// reportSkew is by how much the times of crashes that different instances
	// report may differ.
	reportSkew = 10 * time.Millisecond
	// CautiousFrom is the number of crashes under a request from which its next attempt
	// after a broken connection waits until it is known whether that was a crash too.
	CautiousFrom = 2
	// tieCrashes is the number of crashes from which two requests that always ran
	// beside each other are both quarantined.
	tieCrashes = 6
	// otherCrashTerm is how long before the first crash under a request other crashes
	// count as a sign that upstreams crash otherwise.
	otherCrashTerm = 10 * time.Second
)

// suspect is a request that ran at upstreams when they crashed.
type suspect struct {
	crashes []Crash // by At
	// heldSince is when the crashes sufficed; 0 if they do not.
	heldSince time.Duration
}

// add records a crash. An upstream counts once.
func (s *suspect) add(c Crash) {
	if s.ranAt(c.Upstream) {
		return
	}
	i, _ := slices.BinarySearchFunc(s.crashes, c.At, func(o Crash, at time.Duration) int { return cmp.Compare(o.At, at) })
	if s.crashes = slices.Insert(s.crashes, i, c); len(s.crashes) > maxCrashesPerSuspect {
		s.crashes = s.crashes[1:]
	}
}

// ranAt reports whether an upstream crashed under the request.
func (s *suspect) ranAt(upstream uint64) bool {
	return slices.ContainsFunc(s.crashes, func(o Crash) bool { return o.Upstream == upstream })
}

// last returns the time of the last crash.
func (s *suspect) last() time.Duration { return s.crashes[len(s.crashes)-1].At }

// meets reports whether crashes, by At, are the proof asked for.
func (p proof) meets(crashes []Crash) bool {
	if len(crashes) == 0 {
		return false
	}
	rounds, roundAt := 1, crashes[0].At
	moments, momentAt := 1, crashes[0].At
	for _, c := range crashes[1:] {
		if c.Began >= roundAt-reportSkew && c.At >= roundAt+roundGap {
			rounds, roundAt = rounds+1, c.At
		}
		if c.At >= momentAt+momentGap {
			moments, momentAt = moments+1, c.At
		}
	}
	return rounds >= p.rounds || moments >= p.moments && len(crashes) >= p.crashes
}

// crashedUpstreams holds the upstreams that crashed lately.
type crashedUpstreams map[uint64]upstreamCrash

type upstreamCrash struct {
	at time.Duration
	// explained is set if a quarantined request ran there: nothing else is to blame.
	explained bool
}

// add records a crash; the oldest is dropped if there are too many.
func (u crashedUpstreams) add(c Crash, explained bool) {
	known, found := u[c.Upstream]
	if !found && len(u) >= maxCrashedUpstreams {
		u.dropOldest()
	}
	u[c.Upstream] = upstreamCrash{at: max(c.At, known.at), explained: explained || known.explained}
}

func (u crashedUpstreams) dropOldest() {
	var oldest uint64
	at := time.Duration(-1)
	for k, c := range u {
		if at < 0 || c.at < at {
			oldest, at = k, c.at
		}
	}
	delete(u, oldest)
}

// unexplained returns the crashes that no quarantined request explains.
func (u crashedUpstreams) unexplained(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return u[c.Upstream].explained })
}

// countOthers returns how many upstreams crashed from a time on without s and without
// an explanation.
func (u crashedUpstreams) countOthers(s *suspect, since time.Duration) (n int) {
	for k, c := range u {
		if !c.explained && c.at >= since && !s.ranAt(k) {
			n++
		}
	}
	return n
}

// conclusive reports whether the crashes of s that nothing else explains suffice.
func (t *Table) conclusive(s *suspect) bool {
	crashes := t.crashed.unexplained(s.crashes)
	if !usualProof.meets(crashes) {
		return false
	}
	others := t.crashed.countOthers(s, crashes[0].At-otherCrashTerm)
	return 2*others < len(crashes) || strongProof.meets(crashes)
}

// outweighed reports whether another request ran at all upstreams that crashed
// under s, and at more: that one is most likely to blame.
func (t *Table) outweighed(content Content, s *suspect) bool {
	crashes := t.crashed.unexplained(s.crashes)
	return t.othersCover(content, crashes, len(crashes)+1)
}

// ties reports whether another request ran at all upstreams that crashed under s
// and at no fewer: either may be to blame, and the next crash tells.
func (t *Table) ties(content Content, s *suspect) bool {
	crashes := t.crashed.unexplained(s.crashes)
	return len(crashes) < tieCrashes && t.othersCover(content, crashes, len(crashes))
}

// othersCover reports whether another suspect with at least a number of crashes ran
// at all upstreams in crashes.
func (t *Table) othersCover(content Content, crashes []Crash, least int) bool {
	for k, o := range t.suspects {
		if k != content && len(o.crashes) >= least && coversAll(o, crashes) {
			return true
		}
	}
	return false
}

// coversAll reports whether each upstream in crashes crashed under s.
func coversAll(s *suspect, crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return !s.ranAt(c.Upstream) })
}
