/**
 * Rendezvous hashing (highest random weight): each key ranks the members by a
 * hash of key and member.
 */
import murmurhash from 'murmurhash';

/** Returns the 32-bit weight of a member for a key. */
export function rendezvousWeight(key: string, member: string): number {
  return murmurhash.v3(key, murmurhash.v3(member));
}

/** Returns the members from the highest weight for the key to the lowest. */
export function rankMembers<Member extends string>(
  key: string,
  members: readonly Member[],
): Member[] {
  const weighted = members.map(member => ({
    member,
    weight: rendezvousWeight(key, member),
  }));
  weighted.sort(
    (left, right) =>
      right.weight - left.weight || (left.member < right.member ? -1 : 1),
  );
  return weighted.map(entry => entry.member);
}

/** Returns the member with the highest weight for the key. */
export function topMember<Member extends string>(
  key: string,
  members: Iterable<Member>,
): Member | undefined {
  let top: Member | undefined;
  let topWeight = -1;
  for (const member of members) {
    const weight = rendezvousWeight(key, member);
    const wins =
      weight > topWeight ||
      (weight === topWeight && top !== undefined && member < top);
    if (wins) {
      top = member;
      topWeight = weight;
    }
  }
  return top;
}
