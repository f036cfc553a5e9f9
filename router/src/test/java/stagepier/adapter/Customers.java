package stagepier.adapter;

/** Settings of two customers that differ as much as the wire format allows. */
final class Customers {
    static final String PAGES = """
            {"Siblings":4,"SlotNo":1,"Zone":1,"Period":0.004,"Areas":["oslo","oslo-2"],"Flavors":["blade","blade-old"],
            "Classes":[{"Name":"article","Deadline":0.5,"GoalTime":0.3,"Repeat":"idempotent","Worth":1},
            {"Name":"article-list","Deadline":5,"GoalTime":2,"Repeat":"idempotent","Worth":4,"LateWorth":0.5},
            {"Name":"article-list-edit","Deadline":5,"GoalTime":1.5,"Repeat":"at_most_once","Worth":9}],
            "Discovery":"ask","FamilyInfo":{"Mode":"through","OriginKind":-1},"WeightKind":"nominal",
            "Limits":{"MaxAttempts":3,"MaxRetryAfter":1.2,"DialTimeout":0.25,"IdleClose":20,"Cancel":false,"Peers":false,
            "Probes":true,"RetryAfter":true,"MayDuplicate":false},
            "Obligations":{"DrainGrace":0.4,"ColdFrom":0.3,"Cold":9,"FallMultiple":3,"TipAfter":1.5},
            "Prices":{"Waste":0.1,"Origin":0.02,"CrossZone":0.15},"Report":{"How":"silent","Fields":[]}}""";
    static final String CREDIT = """
            {"Siblings":9,"SlotNo":0,"Zone":0,"Period":0.005,"Areas":["annelinn"],"Flavors":["vm"],
            "Classes":[{"Name":"score","Deadline":2.5,"GoalTime":0.4,"Repeat":"deduplicated","Group":"all","DedupWindow":0.7,
            "Worth":7,"LateWorth":0.3}],"Realms":[{"Name":"bank","Portion":0.6,"QuotaPerS":40},
            {"Name":"bank-2","Portion":0.4,"QuotaPerS":20}],"OverShareWorth":0.3,
            "Discovery":"push","FamilyInfo":{"Mode":"through","OriginKind":-1},"WeightKind":"silent",
            "Limits":{"MaxAttempts":2,"MaxRetryAfter":0.6,"DialTimeout":0.1,"IdleClose":5,"Cancel":true,"Peers":true,
            "Probes":false,"RetryAfter":true,"MayDuplicate":true},
            "Obligations":{"DrainGrace":0.25,"ColdFrom":0.1,"Cold":20,"FallMultiple":2,"TipAfter":1},
            "Prices":{"Waste":0.2,"Origin":0.3,"CrossZone":0},"Report":{"How":"piggyback","Fields":["concurrent","depth"]}}""";

    private Customers() {}
}
