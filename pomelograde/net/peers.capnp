@0xd3c1a5b2f4e69780;

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  requestId @2 :UInt64;
  isReply @3 :Bool;
  body :union {
    empty @4 :Void;
    heartbeat @5 :Heartbeat;
    primaryNews @6 :PrimaryNews;
    witnessRequest @7 :WitnessRequest;
    witnessAnswer @8 :WitnessAnswer;
    configurationNews @9 :ConfigurationNews;
    configurationRequest @10 :ConfigurationRequest;
    borrowRequest @11 :BorrowRequest;
    borrowAnswer @12 :BorrowAnswer;
    cancelStatement @13 :CancelStatement;
    groupNews @14 :GroupNews;
    floorRequest @15 :FloorRequest;
    floorAnswer @16 :FloorAnswer;
    newsRequest @17 :NewsRequest;
    newsAnswer @18 :NewsAnswer;
    relayRequest @19 :RelayRequest;
    relayAnswer @20 :RelayAnswer;
    ping @21 :Ping;
    holdRequest @22 :HoldRequest;
    leaving @23 :Leaving;
    newsOffer @24 :NewsOffer;
    admitRequest @25 :AdmitRequest;
    admitAnswer @26 :AdmitAnswer;
  }
  acceptsStreams @27 :Bool;
}

struct InstanceNews {
  name @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  incarnation @3 :UInt64;
  host @4 :Text;
  peerPort @5 :UInt16;
  leaving @6 :Bool;
  ageMs @7 :UInt32;
  beat @8 :UInt64;
  state @9 :UInt8;
  build @10 :Text;
}

struct Heartbeat {
  revision @0 :UInt64;
  confirmedAgeMs @1 :UInt32;
  instances @2 :List(InstanceNews);
  digest @3 :UInt64;
}

struct PrimaryNews {
  group @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
}

struct WitnessRequest {
  group @0 :Text;
  member @1 :Text;
  host @2 :Text;
  port @3 :UInt32;
  dataCentre @4 :Text;
}

struct WitnessAnswer {
  reachable @0 :Bool;
  role @1 :Text;
  term @2 :UInt64;
  logTerm @3 :UInt64;
  logIndex @4 :UInt64;
  hasPosition @5 :Bool;
}

struct ConfigurationNews {
  revision @0 :UInt64;
  rows @1 :Text;
}

struct ConfigurationRequest {
  afterRevision @0 :UInt64;
}

struct BorrowRequest {
  resource @0 :Text;
  amount @1 :Float64;
  burst @2 :Float64;
  forMs @3 :UInt32;
}

struct BorrowAnswer {
  resource @0 :Text;
  amount @1 :Float64;
  burst @2 :Float64;
  forMs @3 :UInt32;
}

struct CancelStatement {
  processId @0 :UInt32;
  secret @1 :UInt32;
}

struct MemberNews {
  name @0 :Text;
  term @1 :UInt64;
  index @2 :UInt64;
  reachable @3 :Bool;
  leaving @4 :Bool;
}

struct GroupNews {
  group @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
  members @3 :List(MemberNews);
}

struct FloorRequest {
  group @0 :Text;
  loads @1 :List(LoadNews);
  queries @2 :List(FloorQuery);
}

struct FloorQuery {
  group @0 :Text;
  loads @1 :List(LoadNews);
}

struct FloorAnswer {
  known @0 :Bool;
  term @1 :UInt64;
  index @2 :UInt64;
  ageMs @3 :UInt32;
  loads @4 :List(LoadNews);
  floors @5 :List(FloorNews);
}

struct FloorNews {
  group @0 :Text;
  known @1 :Bool;
  term @2 :UInt64;
  index @3 :UInt64;
  ageMs @4 :UInt32;
  loads @5 :List(LoadNews);
}

struct LoadNews {
  member @0 :Text;
  ageMs @1 :UInt16;
  stretchPercent @2 :UInt32;
  waitMs @3 :UInt32;
}

struct UpstreamNews {
  service @0 :Text;
  name @1 :Text;
  dataCentre @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  leads @5 :Bool;
  leaving @6 :Bool;
  slots @7 :UInt16;
  startedMs @8 :UInt64;
  isCold @9 :Bool;
}

struct PathNews {
  instance @0 :Text;
  member @1 :Text;
  isLost @2 :Bool;
  ageMs @3 :UInt32;
  origin @4 :Text;
}

struct NewsRequest {
  configuration @0 :UInt64;
  upstreamsDigest @1 :UInt64;
  instancesDigest @2 :UInt64;
  configurationVersion @3 :UInt64;
  paths @4 :List(PathNews);
  evidence @5 :List(EvidenceNews);
  evacuationsDigest @6 :UInt64;
}

struct EvidenceNews {
  service @0 :Text;
  member @1 :Text;
  attempts @2 :Float32;
  failures @3 :Float32;
  reads @4 :Float32;
  readS @5 :Float32;
  ageMs @6 :UInt32;
  failedAgeMs @7 :UInt32;
  silent @8 :UInt16;
  answering @9 :UInt16;
  sources @10 :UInt16;
  suspecting @11 :UInt16;
  collected @12 :Bool;
  passed @13 :UInt16;
  heardAgeMs @14 :UInt32;
  silentAgeMs @15 :UInt32;
}

struct EvacuationNews {
  dataCentre @0 :Text;
}

struct TakeoverNews {
  service @0 :Text;
  holder @1 :Text;
  successor @2 :Text;
  fence @3 :UInt64;
  rowVersion @4 :UInt64;
  term @5 :UInt64;
  candidate @6 :Text;
  logTerm @7 :UInt64;
  logIndex @8 :UInt64;
}

struct HoldRequest {
  takeover @0 :List(TakeoverNews);
  graceMs @1 :UInt32;
}

struct AdmitRequest {
  account @0 :Text;
  budgetMs @1 :UInt32;
  waitMs @2 :UInt32;
  priority @3 :UInt8;
}

struct AdmitAnswer {
  refusal @0 :Text;
  retryAfterMs @1 :UInt32;
}

struct NewsOffer {
  instances @0 :List(InstanceNews);
  configurationVersion @1 :UInt64;
  evidence @2 :List(EvidenceNews);
}

struct NewsAnswer {
  configuration @0 :UInt64;
  document @1 :Text;
  configurationAgeMs @2 :Int64;
  upstreamsDigest @3 :UInt64;
  upstreams @4 :List(UpstreamNews);
  upstreamsAgeMs @5 :Int64;
  instancesDigest @6 :UInt64;
  instances @7 :List(InstanceNews);
  takeovers @8 :List(TakeoverNews);
  configurationVersion @9 :UInt64;
  paths @10 :List(PathNews);
  evidence @11 :List(EvidenceNews);
  evacuationsDigest @12 :UInt64;
  evacuationsEra @13 :UInt32;
  evacuationsRevision @14 :UInt64;
  evacuationsAgeMs @15 :Int64;
  evacuations @16 :List(EvacuationNews);
  isUnsettled @17 :Bool;
}

struct Ping {
}

struct Leaving {
}

struct Setting {
  name @0 :Data;
  value @1 :Data;
}

struct RelayRequest {
  step @0 :Text;
  service @1 :Text;
  member @2 :Text;
  account @3 :Text;
  transaction @4 :UInt64;
  budgetMs @5 :UInt32;
  onPrimary @6 :Bool;
  readOnly @7 :Bool;
  afterTerm @8 :UInt64;
  afterIndex @9 :UInt64;
  hasAfter @10 :Bool;
  requestId @11 :Data;
  operation @12 :Text;
  text @13 :Data;
  value @14 :Data;
  shape @15 :Data;
  isPrepared @16 :Bool;
  writes @17 :Bool;
  settings @18 :List(Setting);
  paths @19 :List(PathNews);
  priority @20 :UInt8;
  hasAlternative @21 :Bool;
  isCold @22 :Bool;
  usefulMs @23 :UInt32;
  call @24 :UInt64;
}

struct RelayAnswer {
  refusal @0 :Text;
  retryAfterMs @1 :UInt32;
  transaction @2 :UInt64;
  rows @3 :List(Data);
  digest @4 :Data;
  hasDigest @5 :Bool;
  error @6 :Text;
  text @7 :Data;
  status @8 :Data;
  term @9 :UInt64;
  index @10 :UInt64;
  hasPosition @11 :Bool;
  paths @12 :List(PathNews);
  pathFailed @13 :Bool;
  heldUs @14 :UInt32;
  servedUs @15 :UInt32;
  queue @16 :UInt16;
  inFlight @17 :UInt16;
}
