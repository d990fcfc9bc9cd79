// Package course reads the logs of a fleet's daemons and puts them together: the
// course of a day in steps of time, with what was answered and refused, keys that
// changed hands, writes of the ownership table and what happened to daemons,
// upstreams and the store; and all that daemons said of one request.
//
// Lines are key=value pairs that begin with time. What stands before is left out,
// but for its last word: tools that collect logs put the process there.
//
// # Usage
//
//	c := course.New(time.Second, course.WithRequest("9507ff7976b93d12"))
//	err := c.Read(file, "dallas-1")
//	err = c.WriteText(os.Stdout)
//	err = c.WritePicture(svg, "svg")
package course
