package fleet

import (
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// timespecBytes is the size of the kernel's time of arrival: seconds and nanoseconds, of 8
// bytes each on 64-bit machines.
const timespecBytes = 16

// timestampBytes is the size of the control message that holds a time of arrival.
var timestampBytes = unix.CmsgSpace(timespecBytes)

// enableTimestamps makes the kernel record when each datagram arrives at conn.
func enableTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return err
	}
	return failed
}

// socketWait returns for how long a datagram waited in its socket, by the control messages
// that were read with it at the wall-clock time now, and false if they hold no timestamp.
func socketWait(now time.Time, control []byte) (waited time.Duration, ok bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0, false
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SCM_TIMESTAMPNS || len(m.Data) < timespecBytes {
			continue
		}
		arrived := time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[timespecBytes/2:])))
		return max(0, now.Sub(arrived)), true
	}
	return 0, false
}
