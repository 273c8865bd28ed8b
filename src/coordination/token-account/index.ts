export {
  type AccountSnapshot,
  type StoredAccount,
  TokenAccount,
  type TurnAdmission,
} from "./token-account.ts";
