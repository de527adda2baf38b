package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// pauseTime is the time between an answer and the next request on a kept channel.
const pauseTime = 30 * time.Millisecond

// keptClient sends one request after the other on a channel that it keeps open, until stop is closed. It opens a new one when the channel
// has ended.
type keptClient struct {
	rec     *record
	address string
	key     string
	// cut holds the ids of the requests that were sent whole and whose channel ended without a byte of an answer.
	cut []string
	// answered counts the requests with an answer.
	answered int
}

func (k *keptClient) run(stop <-chan struct{}) {
	for {
		channel, err := net.DialTimeout("tcp", k.address, time.Second)
		if err == nil {
			k.use(channel, stop)
			_ = channel.Close()
		}

		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// use sends requests until the channel ends.
func (k *keptClient) use(channel net.Conn, stop <-chan struct{}) {
	reader := bufio.NewReader(channel)

	for {
		select {
		case <-stop:
			return
		default:
		}

		id := fmt.Sprintf("%016x", attempts.Add(1))

		_ = channel.SetDeadline(time.Now().Add(time.Second))

		if _, err := fmt.Fprintf(channel, "POST /reserve/floor HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer %s\r\nContent-Length: 8\r\n\r\nsaturday", host, id, k.key); err != nil {
			return
		}

		k.rec.add("client sends %s (/reserve/floor) on a kept channel to %s", id, k.address)

		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				k.cut = append(k.cut, id)
				k.rec.add("the channel of %s ends without an answer: %v", id, err)
			}

			return
		}

		_, err = io.Copy(io.Discard, response.Body)
		k.answered++
		k.rec.add("client gets %d for %s", response.StatusCode, id)

		if err != nil || response.Close {
			return
		}

		time.Sleep(pauseTime)
	}
}
