// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// version is the first byte of a datagram.
const version = 1

// fields are those of a message, by their encoded names.
type fields = map[string]any

// encode returns a datagram with some fields.
func encode(t testing.TB, content any) []byte {
	t.Helper()
	encoded, err := msgpack.Marshal(content)
	require.NoError(t, err)
	return append([]byte{version}, encoded...)
}

// decode returns the fields of a datagram.
func decode(t testing.TB, payload []byte) fields {
	t.Helper()
	require.Equal(t, byte(version), payload[0])
	var decoded fields
	require.NoError(t, msgpack.Unmarshal(payload[1:], &decoded))
	return decoded
}

// peer is an address of the network whose datagrams a test writes and reads itself.
type peer struct {
	network  *network
	instance origin.Instance
	receive  func(buffer []byte) ([]byte, netip.AddrPort, error)
}

// startWithPeer starts an instance in whose list only a peer is besides.
func startWithPeer(t *testing.T) (*exchange.Service, origin.Instance, *peer) {
	t.Helper()
	n, instances := newNetwork(), list(2, 2)
	transport, err := n.listen(instances[1].Address)
	require.NoError(t, err)
	service := startInstance(t, n, instances[0], instances)
	return service, instances[0], &peer{network: n, instance: instances[1], receive: transport.Receive}
}

// send sends a datagram as the peer.
func (p *peer) send(to origin.Instance, payload []byte) {
	p.network.send(datagram{from: p.instance.Address, to: to.Address, payload: payload})
}

// nextWith returns the next datagram that arrives with a field, and its fields.
func (p *peer) nextWith(t *testing.T, field string) ([]byte, fields) {
	t.Helper()
	for {
		payload, _, err := p.receive(make([]byte, 2048))
		require.NoError(t, err)
		if decoded := decode(t, payload); decoded[field] != nil {
			return payload, decoded
		}
	}
}

// startFind lets an instance find out about a stream, and returns where the result arrives and the question that it sends.
func (p *peer) startFind(t *testing.T, service *exchange.Service, key origin.Key) (<-chan origin.Result, fields) {
	t.Helper()
	results := make(chan origin.Result, 1)
	go func() { results <- service.Find(t.Context(), time.Now(), key, []string{"chat"}, window) }()
	_, asked := p.nextWith(t, "q")
	return results, asked["q"].(fields)
}

func TestRecordsOfAnotherVersionOfProgramAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, self, other := startWithPeer(t)
		defer service.Close()
		other.send(self, encode(t, fields{
			"new": "field",
			"r":   []fields{{"k": 7, "s": "chat", "w": "1.0", "u": 30_000, "new": 1}, {"k": 8, "s": "chat", "u": 30_000}, {"k": 9, "s": "chat", "u": 30_000, "x": true}},
		}))
		time.Sleep(2 * latency)
		assertFound(t, known(one), service, 7)
		assertFound(t, known(origin.Origin{Service: "chat"}), service, 8)
		assertFound(t, origin.Result{Verdict: origin.Ambiguous}, service, 9)
		time.Sleep(30 * time.Second)
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		assertFound(t, unknown, service, 7)
	})
}

// TestMessagesKeepTheirForm pins what is sent, which instances of other versions of the program read.
func TestMessagesKeepTheirForm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, self, other := startWithPeer(t)
		defer service.Close()
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		payload, _ := other.nextWith(t, "n")
		assert.Equal(t, "0181a16e9282a173a463686174a177a3312e3082a173a463686174a177a3322e30", hex.EncodeToString(payload))
		begin(service, 7, one)
		payload, from, err := other.receive(make([]byte, 2048))
		require.NoError(t, err)
		assert.Equal(t, self.Address, from)
		assert.Equal(t, "0181a17291"+"84a16bcf0000000000000007a173a463686174a177a3312e30a175ce0000ea60", hex.EncodeToString(payload))

		results, question := other.startFind(t, service, 9)
		assert.Equal(t, uint64(9), question["k"])
		assert.Equal(t, []any{"chat"}, question["s"])
		assert.Equal(t, []any{fields{"s": "chat", "w": "1.0"}, fields{"s": "chat", "w": "2.0"}}, question["w"])
		other.send(self, encode(t, fields{"a": fields{"i": question["i"], "f": 1, "s": "chat", "v": "2.0", "new": 1}}))
		assert.Equal(t, known(two), <-results)

		other.send(self, encode(t, fields{"q": fields{"i": uint64(5), "k": uint64(7), "s": []string{"chat"}, "new": 1}}))
		_, answered := other.nextWith(t, "a")
		answer := answered["a"].(fields)
		assert.NotZero(t, answer["p"])
		assert.Equal(t, uint64(5), answer["i"])
		assert.EqualValues(t, 1, answer["f"])
		assert.Equal(t, "chat", answer["s"])
		assert.Equal(t, "1.0", answer["v"])
		assert.Len(t, answer["w"], 2)
	})
}

func TestAgesOfSightingsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for age, expected := range map[time.Duration]origin.Result{
			window - time.Second: unknown,
			window:               {Verdict: origin.SoleSoftware, Origin: one},
		} {
			service, self, other := startWithPeer(t)
			service.ObserveEndpoints(time.Now(), chat("1.0"))
			time.Sleep(settling)
			results, question := other.startFind(t, service, 9)
			sightings := []fields{{"s": "chat", "w": fmt.Sprint(age), "g": age.Milliseconds()}}
			other.send(self, encode(t, fields{"a": fields{"i": question["i"], "w": sightings}}))
			assert.Equal(t, expected, <-results, age)
			service.Close()
		}
	})
}

func TestUnexpectedAnswersAreIgnoredAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, self, other := startWithPeer(t)
		defer service.Close()
		service.SetInstances(list(3, 3))
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		results, question := other.startFind(t, service, 9)
		right := encode(t, fields{"a": fields{"i": question["i"], "f": 1, "s": "chat", "v": "2.0"}})

		wrong := encode(t, fields{"a": fields{"i": question["i"], "f": 1, "s": "chat", "v": "1.0"}})
		stranger := netip.MustParseAddrPort("10.9.9.9:7100")
		other.network.send(datagram{from: stranger, to: self.Address, payload: wrong})
		other.network.send(datagram{from: self.Address, to: self.Address, payload: wrong})
		other.send(self, encode(t, fields{"a": fields{"i": uint64(1), "f": 1, "s": "chat", "v": "1.0"}}))
		time.Sleep(2 * latency)
		assert.Equal(t, uint64(3), service.Counters().UnexpectedAnswers, "two of instances that were not asked, one to another question")

		other.send(self, right)
		time.Sleep(2 * latency)
		other.send(self, wrong)
		assert.Equal(t, known(two), <-results)
		assert.Equal(t, uint64(4), service.Counters().UnexpectedAnswers, "one doubled")

		results, _ = other.startFind(t, service, 9)
		assert.Equal(t, unknown, <-results)
		other.send(self, right)
		time.Sleep(2 * latency)
		assert.Equal(t, uint64(5), service.Counters().UnexpectedAnswers, "one late")
	})
}

func TestUnreadableDatagramsAreIgnoredAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, self, other := startWithPeer(t)
		defer service.Close()
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		results, question := other.startFind(t, service, 9)
		other.send(self, nil)
		other.send(self, []byte{version})
		other.send(self, []byte{version, 0xc1})
		other.send(self, encode(t, "text"))
		other.send(self, encode(t, fields{"r": []fields{{"k": "text"}}}))
		other.send(self, encode(t, fields{"a": fields{"i": question["i"], "f": 3}}))
		other.send(self, append([]byte{version + 1}, encode(t, fields{})...))
		other.send(self, encode(t, fields{"new": "kind of message"}))
		assert.Equal(t, unknown, <-results)
		assert.Equal(t, uint64(6), service.Counters().Malformed)
		assert.Equal(t, uint64(1), service.Counters().UnknownVersion)
	})
}

// TestDatagramThatStatesManyRecordsIsUnreadable guards against one datagram that ends the instance that receives it.
func TestDatagramThatStatesManyRecordsIsUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, self, other := startWithPeer(t)
		defer service.Close()
		other.send(self, append([]byte{version}, "\x81\xa1r\xdd\x7f\xff\xff\xff"...))
		time.Sleep(2 * latency)
		assert.Equal(t, uint64(1), service.Counters().Malformed)
	})
}

func TestDatagramsStayWithinTheirSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3)
		defer f.close()
		long := strings.Repeat("s", 180)
		var softwares []string
		for i := range 12 {
			softwares = append(softwares, fmt.Sprintf("%s-%d", long, i))
		}
		f.observe(softwares...)
		time.Sleep(settling)
		for key := range origin.Key(200) {
			begin(f.services[0], key, origin.Origin{Service: "chat", Software: softwares[key%12]})
		}
		begin(f.services[0], 1000, origin.Origin{Service: "chat", Software: strings.Repeat("s", 1200)})
		time.Sleep(settling)
		assertFound(t, known(origin.Origin{Service: "chat", Software: softwares[7]}), f.services[5], 7)
		assertFound(t, unknown, f.services[5], 999)
		for _, sent := range f.network.takeSent() {
			assert.LessOrEqual(t, len(sent.payload), 1200)
		}
		assert.Equal(t, uint64(1), f.services[0].Counters().Oversized)
	})
}

// FuzzReceive sends datagrams of any content. None may end the service or make it wait.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(encode(f, fields{"r": []fields{{"k": 7, "s": "chat", "w": "1.0", "u": 30_000}}}))
	f.Add(encode(f, fields{"q": fields{"i": 1, "k": 7, "s": []string{"chat"}, "w": []fields{{"s": "chat", "w": "3.0", "g": 1}}}}))
	f.Add(encode(f, fields{"a": fields{"i": 1, "f": 1, "s": "chat", "v": "2.0", "w": []fields{{"s": "chat", "w": "3.0", "g": 1}}}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		synctest.Test(t, func(t *testing.T) {
			service, self, other := startWithPeer(t)
			defer service.Close()
			service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			other.send(self, payload)
			time.Sleep(2 * latency)
			begin(service, 1<<60, one)
			result, _ := find(t, service, 1<<60)
			assert.Contains(t, []origin.Verdict{origin.Known, origin.Ambiguous}, result.Verdict)
		})
	})
}
