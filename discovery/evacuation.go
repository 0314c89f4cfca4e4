package discovery

import (
	"maps"
	"slices"
)

// Evacuation is a data centre whose upstreams get no new requests.
type Evacuation struct {
	DataCentre string
	// Upstreams holds its upstreams that are not draining.
	Upstreams []*Upstream
}

// SetEvacuated sets whether the upstreams of a data centre are left out of Usable. It
// reports whether that is new.
func (r *Registry) SetEvacuated(dataCentre string, on bool) bool {
	if r.evacuated[dataCentre] == on {
		return false
	}
	if on {
		r.evacuated[dataCentre] = true
	} else {
		delete(r.evacuated, dataCentre)
	}
	return true
}

// Evacuations returns the evacuated data centres, by name.
func (r *Registry) Evacuations() []Evacuation {
	var out []Evacuation
	for _, dc := range slices.Sorted(maps.Keys(r.evacuated)) {
		e := Evacuation{DataCentre: dc}
		for _, u := range r.upstreams {
			if u.DataCentre == dc && !u.Draining {
				e.Upstreams = append(e.Upstreams, u)
			}
		}
		out = append(out, e)
	}
	return out
}

// HasDataCentre reports whether an upstream of the data centre is known.
func (r *Registry) HasDataCentre(name string) bool {
	for _, u := range r.upstreams {
		if u.DataCentre == name {
			return true
		}
	}
	return false
}
