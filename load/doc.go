// Package load is an open-loop load generator. Arrivals follow a schedule with
// a fixed seed, whatever the answers take, and latency counts from a request's
// intended start, so that slow answers hide no later ones.
//
// # Usage
//
//	res, err := load.Run(ctx, load.Config{
//		Targets: []string{"http://127.0.0.1:7001", "http://127.0.0.1:7101"},
//		Service: "rounds-desk", Rate: 500, Duration: 10 * time.Second, Keys: 1000,
//	})
//	res.WriteText(os.Stdout)
package load
