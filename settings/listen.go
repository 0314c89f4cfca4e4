package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
)

// Levels are the log levels that settings may name.
var Levels = []string{"debug", "info", "warn", "error"}

// CheckLevel checks that the value of key is a log level, or empty.
func CheckLevel(key, value string) error {
	if value == "" || slices.Contains(Levels, value) {
		return nil
	}
	return &KeyError{Key: key, Fault: fmt.Sprintf("unknown log level %q", value), Remedy: "use " + strings.Join(Levels, ", ")}
}

// Listen listens on the TCP address that key holds. Its error is a *KeyError
// that names the remedy.
func Listen(key, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		return ln, nil
	case errors.Is(err, syscall.EADDRINUSE):
		return nil, &KeyError{Key: key, Fault: address + " is in use", Remedy: "end the process that serves it, or set another address"}
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return nil, &KeyError{Key: key, Fault: address + " is no address of this machine", Remedy: "set one of its addresses"}
	case errors.Is(err, syscall.EACCES):
		return nil, &KeyError{Key: key, Fault: address + " may not be served by this user", Remedy: "set a port from 1024"}
	}
	return nil, &KeyError{Key: key, Fault: err.Error(), Remedy: "set an address and port that is free"}
}
