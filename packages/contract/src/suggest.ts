/** Largest share of a word that a typing error may change. */
const maxDistanceRatio = 0.4

/** Edit distance in which a swap of neighbours counts as one edit. */
function editDistance(a: string, b: string): number {
  const rows = [Array.from({ length: b.length + 1 }, (_, j) => j)]
  const cell = (i: number, j: number) => rows[i]?.[j] ?? 0
  for (let i = 1; i <= a.length; i++) {
    rows.push([i])
    for (let j = 1; j <= b.length; j++) {
      const cost = a[i - 1] === b[j - 1] ? 0 : 1
      const swapped = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1]
      const edits = [cell(i - 1, j) + 1, cell(i, j - 1) + 1, cell(i - 1, j - 1) + cost]
      if (swapped) edits.push(cell(i - 2, j - 2) + 1)
      rows[i]?.push(Math.min(...edits))
    }
  }
  return cell(a.length, b.length)
}

/**
 * The known word that was probably meant.
 *
 * @example
 * nearestWord('limt', ['limit', 'share']) // 'limit'
 */
export function nearestWord(word: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map(candidate => ({ candidate, distance: editDistance(word, candidate) }))
    .filter(({ candidate, distance }) => distance <= candidate.length * maxDistanceRatio)
    .sort((a, b) => a.distance - b.distance)
  return ranked[0]?.candidate
}

/** `; did you mean 'limit'?`, or nothing. */
export function didYouMean(word: string, known: readonly string[]): string {
  const nearest = nearestWord(word, known)
  return nearest === undefined ? '' : `; did you mean '${nearest}'?`
}
