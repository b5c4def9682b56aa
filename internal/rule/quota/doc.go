// Package quota holds the rate limits that upstreams name in their answers.
package quota
