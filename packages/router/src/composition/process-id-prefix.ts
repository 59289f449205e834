import type { Cradle } from './cradle';

/** Returns what makes ids of this process start unlike those of any other. */
export function processIdPrefix({
  settings,
  identity,
}: Pick<Cradle, 'settings' | 'identity'>): string {
  return `${settings.router.id}.${identity.incarnation.toString(36)}`;
}
