package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// MalformedInstance is the error of one entry of the platform's list that can't be an
// instance. The other entries hold.
type MalformedInstance struct {
	Index int // position in the list, from 0
	Err   error
}

func (e *MalformedInstance) Error() string {
	return fmt.Sprintf("entry %d of the list of instances is ignored: %v", e.Index, e.Err)
}

func (e *MalformedInstance) Unwrap() error { return e.Err }

// decodeList decodes the body of an InstanceList. It returns the entries that are
// instances, and an error for each other one; err is set if the list can't be read.
func decodeList(body []byte) (list []Instance, malformed []*MalformedInstance, err error) {
	entries, err := splitEntries(body)
	if err != nil {
		return nil, nil, err
	}
	for i, raw := range entries {
		var in Instance
		err := json.Unmarshal(raw, &in)
		if err == nil {
			err = in.check()
		}
		if err != nil {
			malformed = append(malformed, &MalformedInstance{i, err})
			continue
		}
		list = append(list, in)
	}
	return list, malformed, nil
}

// errNotAList is the error of a body that holds no list.
var errNotAList = errors.New(`want an object with the list "instances"`)

// splitEntries returns the entries of the list in body, undecoded. It reads tokens rather
// than values: a value that nests too deeply would make the whole body unreadable.
func splitEntries(body []byte) ([]json.RawMessage, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber() // a number out of range is no error of the list
	if err := expectDelim(d, '{'); err != nil {
		return nil, err
	}
	var entries []json.RawMessage
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		if name != "instances" {
			if err := skipValue(d); err != nil {
				return nil, err
			}
			continue
		}
		if entries, err = splitList(d, body); err != nil {
			return nil, err
		}
	}
	return entries, expectDelim(d, '}')
}

// splitList returns the elements of the list that begins with the next token of d, which
// reads body; null is a list without elements.
func splitList(d *json.Decoder, body []byte) ([]json.RawMessage, error) {
	t, err := d.Token()
	if err != nil || t == nil {
		return nil, err
	}
	if t != json.Delim('[') {
		return nil, errNotAList
	}
	var entries []json.RawMessage
	for d.More() {
		begin := d.InputOffset()
		if err := skipValue(d); err != nil {
			return nil, err
		}
		entries = append(entries, bytes.TrimLeft(body[begin:d.InputOffset()], ", \t\r\n"))
	}
	return entries, expectDelim(d, ']')
}

func expectDelim(d *json.Decoder, want json.Delim) error {
	t, err := d.Token()
	if err == nil && t != want {
		err = errNotAList
	}
	return err
}

// skipValue reads the next value of d.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// maxInstanceID is the longest ID of an instance, in bytes.
const maxInstanceID = 512

// check returns an error unless the entry can be an instance.
func (i *Instance) check() error {
	if n := len(i.ID); n == 0 || n > maxInstanceID {
		return fmt.Errorf("ID of %d bytes, want 1 to %d", n, maxInstanceID)
	}
	a, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if a.Addr().IsUnspecified() || a.Port() == 0 {
		return fmt.Errorf("address %s, want an IP address of one host and a port from 1 to 65535", i.Address)
	}
	return nil
}
