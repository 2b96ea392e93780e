package endless

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// The kernel takes bytes for a caller that reads nothing: up to tens of megabytes, by the machine. So that the bytes
// written tell what a caller has read, the server goes on only once the caller has read what was written.

// unreadPoll is how often the server looks whether its caller has read all.
const unreadPoll = time.Millisecond

// awaitRead waits until the other side of a loopback connection has read all that was written to it, or has closed it.
func awaitRead(conn net.Conn) {
	for isUnread(conn) {
		time.Sleep(unreadPoll)
	}
}

// isUnread reports whether the sockets of a loopback connection hold bytes written at this side.
func isUnread(conn net.Conn) bool {
	here, there := portOf(conn.LocalAddr()), portOf(conn.RemoteAddr())
	for _, socket := range sockets() {
		switch {
		case socket.local == here && socket.remote == there && socket.unsent:
			return true
		case socket.local == there && socket.remote == here && socket.unread:
			return true
		}
	}
	return false
}

// portOf returns the port of an address as the table of sockets writes it.
func portOf(addr net.Addr) string { return fmt.Sprintf("%04X", addr.(*net.TCPAddr).Port) }

// socket is an IPv4 socket of this machine.
type socket struct {
	local, remote  string // ports
	unsent, unread bool   // bytes wait to be sent, or acknowledged; to be read
}

// sockets returns the TCP sockets of this machine, none where the kernel has no such table.
func sockets() []socket {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	var list []socket
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line) // number, local, remote, state, queues and so on
		if len(fields) < 5 {
			continue
		}
		_, local, _ := strings.Cut(fields[1], ":")
		_, remote, _ := strings.Cut(fields[2], ":")
		sending, receiving, _ := strings.Cut(fields[4], ":")
		list = append(list, socket{local: local, remote: remote, unsent: isPositive(sending), unread: isPositive(receiving)})
	}
	return list
}

// isPositive reports whether a hexadecimal number is above 0.
func isPositive(number string) bool { return strings.Trim(number, "0") != "" }
