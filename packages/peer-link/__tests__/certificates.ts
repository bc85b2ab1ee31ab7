import { generateKeyPairSync, randomBytes, sign, type KeyObject } from 'node:crypto'

/** Encodes one ASN.1 value in DER. */
function der(tag: number, ...parts: Buffer[]): Buffer {
  const content = Buffer.concat(parts)
  const size = content.length
  const length = size < 128 ? [size] : size < 256 ? [0x81, size] : [0x82, size >> 8, size & 0xff]
  return Buffer.concat([Buffer.from([tag, ...length]), content])
}

const sequence = (...parts: Buffer[]) => der(0x30, ...parts)
const oid = (hex: string) => der(0x06, Buffer.from(hex, 'hex'))
const bitString = (content: Buffer) => der(0x03, Buffer.from([0]), content)
const time = (year: number) => der(0x18, Buffer.from(`${year}0101000000Z`))
const name = (cn: string) =>
  sequence(der(0x31, sequence(oid('550403'), der(0x0c, Buffer.from(cn)))))
const ecdsaWithSha256 = sequence(oid('2a8648ce3d040302'))

function pem(label: string, content: Buffer): string {
  const lines = content.toString('base64').match(/.{1,64}/g) ?? []
  return `-----BEGIN ${label}-----\n${lines.join('\n')}\n-----END ${label}-----\n`
}

/** Creates a certificate authority for tests. */
export function createAuthority(cn = 'test authority') {
  const keys = generateKeyPairSync('ec', { namedCurve: 'P-256' })
  const certificate = (subject: string, publicKey: KeyObject, extension: Buffer): string => {
    const body = sequence(
      der(0xa0, der(0x02, Buffer.from([2]))),
      der(0x02, Buffer.from([1]), randomBytes(8)),
      ecdsaWithSha256,
      name(cn),
      sequence(time(2020), time(2120)),
      name(subject),
      publicKey.export({ type: 'spki', format: 'der' }),
      der(0xa3, sequence(extension)),
    )
    const signature = sign('sha256', body, keys.privateKey)
    return pem('CERTIFICATE', sequence(body, ecdsaWithSha256, bitString(signature)))
  }
  const basicConstraints = sequence(der(0x01, Buffer.from([0xff])))
  const critical = der(0x01, Buffer.from([0xff]))
  return {
    ca: certificate(
      cn,
      keys.publicKey,
      sequence(oid('551d13'), critical, der(0x04, basicConstraints)),
    ),
    /** Issues a certificate for an IPv4 address, with its key. */
    issue(ip: string): { cert: string; key: string } {
      const keyPair = generateKeyPairSync('ec', { namedCurve: 'P-256' })
      const address = der(0x87, Buffer.from(ip.split('.').map(Number)))
      const altName = sequence(oid('551d11'), der(0x04, sequence(address)))
      return {
        cert: certificate(ip, keyPair.publicKey, altName),
        key: keyPair.privateKey.export({ type: 'pkcs8', format: 'pem' }) as string,
      }
    },
  }
}
