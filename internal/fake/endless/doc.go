// Package endless writes HTTP answers of which one part never ends, as a faulty
// backend server may send. Tests use it to check that readers limit each part.
//
//	n, err := endless.HeaderLines.Write(conn, "X-Request-Id: r1\r\n", endless.NoLimit)
package endless
