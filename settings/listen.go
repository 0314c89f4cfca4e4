package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
)

// Levels lists the log levels that settings accept.
var Levels = []string{"debug", "info", "warn", "error"}

// CheckLogLevel returns a *KeyError unless value is empty or one of Levels.
func CheckLogLevel(key, value string) error {
	if value == "" || slices.Contains(Levels, value) {
		return nil
	}
	return &KeyError{Key: key, Fault: fmt.Sprintf("unknown log level %q", value), Remedy: "use " + strings.Join(Levels, ", ")}
}

// Listen listens on a TCP address, which is the value of key. Its error is a
// *KeyError, which names the remedy.
func Listen(key, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		return ln, nil
	case errors.Is(err, syscall.EADDRINUSE):
		return nil, &KeyError{Key: key, Fault: address + " is in use", Remedy: "end the process that serves it, or set another address"}
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return nil, &KeyError{Key: key, Fault: address + " is not an address of this machine", Remedy: "set one of its addresses"}
	case errors.Is(err, syscall.EACCES):
		return nil, &KeyError{Key: key, Fault: address + " needs privileges that this user lacks", Remedy: "set a port from 1024"}
	}
	return nil, &KeyError{Key: key, Fault: err.Error(), Remedy: "set an address and port that is free"}
}
