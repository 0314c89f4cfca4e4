package config

import (
	"context"
	"encoding/json"
)

// Extends reports whether h was accepted after base, and base was in force before
// it. It returns false if the recent commits of h no longer reach back to base. The
// zero Head stands for no configuration.
func (h *Head) Extends(base *Head) bool {
	if h.Revision <= base.Revision || base.Revision == 0 {
		return h.Revision > base.Revision
	}
	c, ok := h.Commit(base.Revision)
	return ok && c.PlanID == base.PlanID
}

// Restore writes a head that the store has lost back to it. It fails with a
// conflict if the store revision of the head's key is no longer expect.
func (c *Committer) Restore(ctx context.Context, h Head, expect int64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = c.store.Put(ctx, HeadKey, value, expect, 0)
	return err
}
