/** Largest edit distance of a suggestion, as a fraction of the length of the suggested word. */
const maxDistanceRatio = 0.4

/** Edit distance that counts a transposition of adjacent characters as one edit. */
function editDistance(a: string, b: string): number {
  const distances = [Array.from({ length: b.length + 1 }, (_, j) => j)]
  const distanceAt = (i: number, j: number) => distances[i]?.[j] ?? 0
  for (let i = 1; i <= a.length; i++) {
    distances.push([i])
    for (let j = 1; j <= b.length; j++) {
      const substitutionCost = a[i - 1] === b[j - 1] ? 0 : 1
      const isTransposition = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1]
      const edits = [
        distanceAt(i - 1, j) + 1,
        distanceAt(i, j - 1) + 1,
        distanceAt(i - 1, j - 1) + substitutionCost,
      ]
      if (isTransposition) edits.push(distanceAt(i - 2, j - 2) + 1)
      distances[i]?.push(Math.min(...edits))
    }
  }
  return distanceAt(a.length, b.length)
}

/**
 * Finds the known word that a misspelt word was probably meant to be.
 *
 * @example
 * findNearestWord('limt', ['limit', 'share']) // 'limit'
 */
export function findNearestWord(word: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map(candidate => ({ candidate, distance: editDistance(word, candidate) }))
    .filter(({ candidate, distance }) => distance <= candidate.length * maxDistanceRatio)
    .sort((a, b) => a.distance - b.distance)
  return ranked[0]?.candidate
}

/** Suffix of a message, such as `; did you mean 'limit'?`; empty when no known word is close. */
export function spellingSuggestion(word: string, known: readonly string[]): string {
  const nearest = findNearestWord(word, known)
  return nearest === undefined ? '' : `; did you mean '${nearest}'?`
}
