package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/platformpb"
	"github.com/kingcuphook/kingcuphook/gossiper"
)

// BenchmarkHints reports the time to set the routers of the platform's list, and the
// encoded size of the whole list with the given number of VMs.
func BenchmarkHints(b *testing.B) {
	for _, s := range []struct{ routers, vms int }{{8, 32}, {1100, 13_100}} {
		b.Run(fmt.Sprintf("routers=%d", s.routers), func(b *testing.B) {
			vms := make([]kingcuphook.VM, s.routers)
			reply := &platformpb.ListVMsReply{}
			for i := range s.vms {
				address := fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255)
				region, centre := fmt.Sprintf("region%d", i%10), fmt.Sprintf("centre%d", i%21)
				reply.Vms = append(reply.Vms, &platformpb.VM{Address: address, Region: region, DataCentre: centre, State: "live"})
				if i < s.routers {
					vms[i] = kingcuphook.NewVM(address, region, centre, kingcuphook.VMStateLive)
				}
			}
			g := &gossiper.Gossiper{Address: vms[0].Address(), Rand: rand.New(rand.NewPCG(1, 1))}
			now := time.Unix(1_000_000, 0)
			for b.Loop() {
				g.SetHints(now, vms)
			}
			b.ReportMetric(float64(proto.Size(reply)), "list-B")
		})
	}
}
