/** Longest request id; runners and records may rely on it. */
export const maxRequestIdLength = 96

/**
 * Creates request ids `<member>.<incarnation>.<number>`. The prefix tells which process may have
 * started a request, so that its permits can be settled after the process has vanished.
 *
 * @example
 * const nextId = createRequestIds({ id: 'e1', incarnation: 'k3f9' })
 * nextId() // 'e1.k3f9.1'
 */
export function createRequestIds(member: { id: string; incarnation: string }): () => string {
  let count = 0
  return () => {
    count += 1
    return `${member.id}.${member.incarnation}.${count.toString(36)}`
  }
}
