package attacher

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// The routers of the tests listen on the same ports of different loopback addresses, which
// must also differ from those of tests of another process.
const (
	// reservedPort is open on one of the addresses, which reserves all with the same second
	// byte. firstNetwork and lastNetwork bound that byte.
	reservedPort              = 17899
	firstNetwork, lastNetwork = 20, 99
)

// loopbackNetwork is the second byte of the loopback addresses of this process.
var loopbackNetwork int

func TestMain(m *testing.M) {
	for loopbackNetwork = firstNetwork; loopbackNetwork <= lastNetwork; loopbackNetwork++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", loopbackNetwork, reservedPort))
		if err == nil {
			status := m.Run()
			l.Close()
			os.Exit(status)
		}
	}
	fmt.Fprintln(os.Stderr, "no free loopback addresses")
	os.Exit(1)
}

// loopback returns a loopback address of this process with the given last two bytes.
func loopback(last string) string { return fmt.Sprintf("127.%d.%s", loopbackNetwork, last) }

// requireLoopback skips the test if there is no such loopback address.
func requireLoopback(t *testing.T, ip string) {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Skipf("no address %s on loopback: %v", ip, err)
	}
	l.Close()
}
