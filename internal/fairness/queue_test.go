package fairness

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestSharesFollowWeights checks the fairness bound of start-time fair queueing:
// while two organisations both wait, their service per weight differs by less
// than one request of each.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 6).Draw(t, "weights")
		q := New(Limits{Items: 10000})
		id := uint64(0)
		served := make([]float64, len(weights))
		for i, w := range weights {
			for range 200 {
				id++
				q.Push(Item{ID: id, Organisation: fmt.Sprint(i), Weight: w})
			}
		}
		for range 150 {
			it, ok := q.Pop()
			assert.Assert(t, ok)
			var org int
			fmt.Sscan(it.Organisation, &org)
			served[org] += 1 / float64(weights[org])
			for i := range weights {
				for j := range weights {
					bound := 1/float64(weights[i]) + 1/float64(weights[j]) + 1e-9
					assert.Assert(t, served[i]-served[j] <= bound)
				}
			}
		}
	})
}

// TestAheadMatchesOrder compares the result of Ahead with the position that Order then
// gives to the item, after a random history of arrivals, removals and service.
func TestAheadMatchesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Limits{Items: 1000})
		weight := map[string]int{"a": 1, "b": 2, "c": 4, "d": 8}
		org := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for id := uint64(1); id <= 60; id++ {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				q.Pop()
			case 1:
				q.Remove(id / 2)
			default:
				o := org.Draw(t, "organisation")
				it := Item{ID: id, Organisation: o, Weight: weight[o], Priority: rapid.IntRange(-1, 1).Draw(t, "priority")}
				ahead := q.Ahead(o, it.Weight, it.Priority)
				q.Push(it)
				position := -1
				for i, waiting := range q.Order() {
					if waiting.ID == id {
						position = i
					}
				}
				assert.Assert(t, ahead >= position && ahead <= position+3, "ahead %d, position %d", ahead, position)
			}
			assert.Equal(t, len(q.Order()), q.Len())
		}
	})
}

func TestFloodDoesNotBlockOthers(t *testing.T) {
	q := New(Limits{Items: 10})
	for id := uint64(1); id <= 50; id++ {
		q.Push(Item{ID: id, Organisation: "large", Weight: 4})
	}
	res := q.Push(Item{ID: 100, Organisation: "small", Weight: 1})
	assert.Assert(t, res.Queued && res.HasEvicted)
	assert.Equal(t, res.Evicted.ID, uint64(10), "the last request of the organisation with the most slots is evicted")
	q.Pop()
	it, _ := q.Pop()
	assert.Equal(t, it.ID, uint64(100))
	assert.Assert(t, !q.Push(Item{ID: 101, Organisation: "large", Weight: 4}).HasEvicted)
}

func TestPriorityOrdersWithinOneOrganisationOnly(t *testing.T) {
	q := New(Limits{Items: 10})
	q.Push(Item{ID: 1, Organisation: "a"})
	q.Push(Item{ID: 2, Organisation: "a", Priority: 5})
	q.Push(Item{ID: 3, Organisation: "b"})
	q.Push(Item{ID: 4, Organisation: "a", Priority: 5})
	var ids []uint64
	for _, it := range q.Order() {
		ids = append(ids, it.ID)
	}
	assert.DeepEqual(t, ids, []uint64{2, 3, 4, 1})
}
