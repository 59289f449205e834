/** The proof of a router's identity as a value of the Proxy-Authorization header. */
import type { ProofParameters } from '@sesamegrade/router/peers/peer-proof';

const SCHEME = 'Peer';

export function credentialsOf({ claim, proof }: ProofParameters): string {
  return `${SCHEME} ${Buffer.from(claim).toString('base64url')} ${proof}`;
}

/** Returns undefined if the header has another form. */
export function parseCredentials(
  header: string | undefined,
): ProofParameters | undefined {
  const [scheme, claim, proof] = header?.split(' ') ?? [];
  return scheme === SCHEME && claim !== undefined && proof !== undefined
    ? { claim: Buffer.from(claim, 'base64url').toString(), proof }
    : undefined;
}
